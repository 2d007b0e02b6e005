/**
 * Addresses that may have a peer: seeds of the settings and entries of the
 * platform's lagging VM list. A candidate is probed with heartbeats and is
 * live only when it answers.
 */
export interface Seed {
  readonly address: string;
  readonly zone: string;
  /** Known for entries of the VM list. */
  readonly name?: string;
}

export interface ListedPeer {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Rounds in which a new candidate gets every heartbeat. */
const EAGER_PROBES = 5;

/** Afterwards it gets every fourth, which bounds the bytes and heals cuts. */
const PROBE_EVERY = 4;

export interface Candidates {
  setList(listed: readonly ListedPeer[]): void;
  /** Addresses in a zone, without those of entries listed as leaving. */
  inZone(zone: string): readonly Seed[];
  zones(): readonly string[];
  /** True when the list has the address as leaving for good. */
  isLeaving(address: string): boolean;
  /** Whether a silent address gets a heartbeat in this round. */
  isProbed(address: string): boolean;
  /** Counts the round for the silent addresses and forgets the others. */
  countProbes(silent: readonly string[]): void;
}

export function createCandidates(seeds: readonly Seed[]): Candidates {
  let listed: readonly ListedPeer[] = [];
  let probes = new Map<string, number>();

  function isLeaving(address: string): boolean {
    const entries = listed.filter((entry) => entry.address === address);
    return entries.length > 0 &&
      entries.every((entry) => entry.state === "leaving");
  }

  function all(): readonly Seed[] {
    const live = listed.filter((entry) => entry.state === "live");
    const unlisted = seeds.filter((seed) =>
      !listed.some((entry) => entry.address === seed.address)
    );
    return [...live, ...unlisted];
  }

  return {
    setList(next) {
      listed = next;
    },
    inZone: (zone) => all().filter((seed) => seed.zone === zone),
    zones: () => [...new Set(all().map((seed) => seed.zone))],
    isLeaving,
    isProbed(address) {
      const count = probes.get(address) ?? 0;
      return count < EAGER_PROBES || count % PROBE_EVERY === 0;
    },
    countProbes(silent) {
      probes = new Map(
        silent.map((address) => [address, (probes.get(address) ?? 0) + 1]),
      );
    },
  };
}
