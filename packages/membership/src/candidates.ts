/**
 * Addresses at which a peer may run: seeds from the settings and entries of the
 * platform's VM list, which can be out of date. A candidate is probed with
 * heartbeats and is live only after it has answered.
 */
export interface Seed {
  readonly address: string;
  readonly zone: string;
  /** Present for entries of the VM list. */
  readonly name?: string;
}

export interface ListedPeer {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Rounds in which a new candidate is sent every heartbeat. */
const INITIAL_PROBE_ROUNDS = 5;

/**
 * Afterwards it is sent every fourth heartbeat, which limits the traffic and
 * still discovers peers after a network partition.
 */
const PROBE_PERIOD_ROUNDS = 4;

export interface Candidates {
  /** Replaces the VM list. */
  setList(listed: readonly ListedPeer[]): void;
  /** Candidates of a zone, without addresses listed as leaving. */
  listZone(zone: string): readonly Seed[];
  zones(): readonly string[];
  /** Zone of a candidate; undefined when the address is no candidate. */
  zoneOf(address: string): string | undefined;
  /** True when all entries of the VM list with this address are leaving. */
  isLeaving(address: string): boolean;
  /** Whether a silent address is sent a heartbeat in this round. */
  isProbeDue(address: string): boolean;
  /** Counts the round for the silent addresses and resets all others. */
  recordRound(silent: readonly string[]): void;
}

export function createCandidates(seeds: readonly Seed[]): Candidates {
  let listed: readonly ListedPeer[] = [];
  let probes = new Map<string, number>();

  function isLeaving(address: string): boolean {
    const entries = listed.filter((entry) => entry.address === address);
    return entries.length > 0 &&
      entries.every((entry) => entry.state === "leaving");
  }

  function listAll(): readonly Seed[] {
    const live = listed.filter((entry) => entry.state === "live");
    const unlisted = seeds.filter((seed) =>
      !listed.some((entry) => entry.address === seed.address)
    );
    return [...live, ...unlisted];
  }

  function mapZones(): ReadonlyMap<string, string> {
    return new Map(listAll().map(({ address, zone }) => [address, zone]));
  }

  let zones = mapZones();

  return {
    setList(next) {
      listed = next;
      zones = mapZones();
    },
    zoneOf: (address) => zones.get(address),
    listZone: (zone) => listAll().filter((seed) => seed.zone === zone),
    zones: () => [...new Set(listAll().map((seed) => seed.zone))],
    isLeaving,
    isProbeDue(address) {
      const count = probes.get(address) ?? 0;
      return count < INITIAL_PROBE_ROUNDS || count % PROBE_PERIOD_ROUNDS === 0;
    },
    recordRound(silent) {
      probes = new Map(
        silent.map((address) => [address, (probes.get(address) ?? 0) + 1]),
      );
    },
  };
}
