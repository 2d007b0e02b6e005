/**
 * Incarnations of leaving upstreams that this daemon announces to its peers.
 * Each is repeated in several rounds, because datagrams can be lost.
 */

/** With half of the datagrams lost, 1 of 64 peers misses all six repeats. */
const REPEAT_ROUNDS = 6;

/** Bounds the length of a heartbeat. */
const MAX_PER_HEARTBEAT = 8;

export interface LeavingUpstreams {
  /** Announces the incarnation in the coming rounds. */
  add(incarnation: string): void;
  /** Counts a sent round and removes the incarnations sent often enough. */
  countRound(): void;
  /** The incarnations for the next heartbeat. */
  current(): readonly string[];
}

export function createLeavingUpstreams(): LeavingUpstreams {
  const sentRounds = new Map<string, number>();

  function current(): readonly string[] {
    return [...sentRounds.keys()].slice(0, MAX_PER_HEARTBEAT);
  }

  return {
    current,
    add(incarnation) {
      sentRounds.set(incarnation, 0);
    },
    countRound() {
      for (const incarnation of current()) {
        const count = (sentRounds.get(incarnation) ?? 0) + 1;
        if (count < REPEAT_ROUNDS) sentRounds.set(incarnation, count);
        else sentRounds.delete(incarnation);
      }
    },
  };
}
