/**
 * News of leaving upstreams that this daemon passes on. Each item is repeated
 * in several rounds, because datagrams are lost.
 */

/** With half of the datagrams lost, 1 of 64 peers misses six repeats. */
const ROUNDS = 6;

/** Items in one heartbeat. */
const MAX_ITEMS = 8;

export interface News {
  add(incarnation: string): void;
  /** Drops the items that have been in enough rounds. */
  countRound(): void;
  current(): readonly string[];
}

export function createNews(): News {
  const rounds = new Map<string, number>();

  function current(): readonly string[] {
    return [...rounds.keys()].slice(0, MAX_ITEMS);
  }

  return {
    current,
    add(incarnation) {
      rounds.set(incarnation, 0);
    },
    countRound() {
      for (const item of current()) {
        const count = (rounds.get(item) ?? 0) + 1;
        if (count < ROUNDS) rounds.set(item, count);
        else rounds.delete(item);
      }
    },
  };
}
