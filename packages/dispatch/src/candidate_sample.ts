/**
 * Limits the replicas that one placement compares. A small service is compared
 * as a whole. In a large one the loads of other zones are known late, and all
 * daemons would choose the same idle replica there, so each placement compares
 * the replicas of its own zone and a few random ones elsewhere.
 */
import type { Replica, Topology } from "./replica.ts";

export interface CandidateSample {
  /**
   * Replicas among which a session has its home. Unless the caches of all are
   * known, homes are near, so that the daemons there know of their load.
   */
  homes(
    usable: readonly Replica[],
    options: { readonly knowsCaches: boolean },
  ): readonly Replica[];
  /** The replicas to compare; those with a wanted id are always included. */
  choose(
    usable: readonly Replica[],
    isWanted: (id: string) => boolean,
  ): readonly Replica[];
}

export interface CandidateSampleOptions {
  readonly topology: Topology;
  /** Source of random numbers in [0, 1). */
  readonly random?: (() => number) | undefined;
}

/** Services of at most this size are compared as a whole. */
const MAX_COMPARED = 24;

/** Random replicas compared from other zones of the region and other regions. */
const REGION_SAMPLE = 4;
const OTHER_REGION_SAMPLE = 2;

/** Least number of replicas in a zone for it to be home to its sessions. */
const MIN_HOMES = 3;

export function createCandidateSample(
  { topology, random = Math.random }: CandidateSampleOptions,
): CandidateSample {
  const ownRegion = topology.regions.get(topology.zone);

  function isInZone({ entry }: Replica): boolean {
    return entry.zone === topology.zone;
  }

  function isInRegion({ entry }: Replica): boolean {
    return topology.regions.get(entry.zone) === ownRegion;
  }

  /** Chooses `count` of the replicas at random. */
  function pick(
    replicas: readonly Replica[],
    count: number,
  ): readonly Replica[] {
    if (replicas.length <= count) return replicas;
    const left = [...replicas];
    return Array.from({ length: count }, () => {
      const index = Math.floor(random() * left.length);
      const [picked] = left.splice(index, 1);
      return picked;
    }).filter((picked) => picked !== undefined);
  }

  return {
    homes(usable, { knowsCaches }) {
      const isSmall = usable.length <= MAX_COMPARED;
      if (isSmall && knowsCaches) return usable;
      const inZone = usable.filter(isInZone);
      if (!isSmall && inZone.length >= MIN_HOMES) return inZone;
      const inRegion = usable.filter(isInRegion);
      return inRegion.length >= MIN_HOMES ? inRegion : usable;
    },
    choose(usable, isWanted) {
      if (usable.length <= MAX_COMPARED) return usable;
      const inZone = usable.filter(isInZone);
      const inRegion = usable.filter((replica) =>
        !isInZone(replica) && isInRegion(replica)
      );
      const elsewhere = usable.filter((replica) => !isInRegion(replica));
      return [
        ...new Set([
          ...pick(inZone, MAX_COMPARED),
          ...pick(inRegion, REGION_SAMPLE),
          ...pick(elsewhere, OTHER_REGION_SAMPLE),
          ...usable.filter(({ entry }) => isWanted(entry.id)),
        ]),
      ];
    },
  };
}
