/**
 * Limits the replicas that one placement compares. A small service is compared
 * as a whole. In a large one the loads of other zones are known late, and all
 * daemons would choose the same idle replica there, so each placement compares
 * the replicas of its own zone and a few random ones elsewhere.
 */
import {
  findRendezvousHome,
  type RendezvousMember,
} from "@peridotvalve/rendezvous";
import type { Replica, Topology } from "./replica.ts";

export interface CandidateSample {
  /**
   * Replicas among which a session has its home. Unless the caches of all are
   * known, homes are near, so that the daemons there know of their load.
   * With a session, they are in the zone of the region that is its home, so that
   * it is cached once in the region instead of once in each zone.
   */
  homes(
    usable: readonly Replica[],
    options: { readonly knowsCaches: boolean; readonly session?: string },
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

  const zoneMembers = new Map<string, RendezvousMember>();

  function isInZone({ entry }: Replica): boolean {
    return entry.zone === topology.zone;
  }

  function isInRegion({ entry }: Replica): boolean {
    return topology.regions.get(entry.zone) === ownRegion;
  }

  /** Returns the same object each time, because its hash is kept with it. */
  function zoneMemberOf(name: string, weight: number): RendezvousMember {
    const known = zoneMembers.get(name);
    if (known?.weight === weight) return known;
    const member = { name, weight };
    zoneMembers.set(name, member);
    return member;
  }

  /** All daemons of the region find the same zone while they know its replicas. */
  function findHomeZone(usable: readonly Replica[], session: string): string {
    const counts = new Map<string, number>();
    for (const { entry: { zone } } of usable) {
      if (topology.regions.get(zone) !== ownRegion) continue;
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    const zones = [...counts].filter(([, count]) => count >= MIN_HOMES)
      .map(([name, weight]) => zoneMemberOf(name, weight));
    return findRendezvousHome(session, zones)?.name ?? topology.zone;
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
    homes(usable, { knowsCaches, session }) {
      const isSmall = usable.length <= MAX_COMPARED;
      if (isSmall && knowsCaches) return usable;
      const zone = session === undefined || isSmall
        ? topology.zone
        : findHomeZone(usable, session);
      const inZone = usable.filter(({ entry }) => entry.zone === zone);
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
