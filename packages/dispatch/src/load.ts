/**
 * Work in flight at each replica: this daemon's own, and what its peers said
 * of theirs.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Tokens } from "@peridotvalve/types";

export interface ReplicaLoad {
  readonly requests: number;
  /** Prompt tokens of requests that have not made their first token. */
  readonly unread: Tokens;
  /** Memory that the requests take when they end. */
  readonly memory: Tokens;
  /** Prompt tokens sent there lately, in a decaying sum. */
  readonly recent: Tokens;
}

/** Load by replica, as one daemon tells it to its peers. */
export type LoadDigest = Readonly<
  Record<
    string,
    readonly [
      requests: number,
      unread: number,
      memory: number,
      recent: number,
    ]
  >
>;

export interface Flight {
  /** The replica has read the prompt. */
  noteFirstToken(): void;
  end(): void;
}

export abstract class LoadView {
  abstract start(
    replica: string,
    terms: { readonly unread: Tokens; readonly memory: Tokens },
  ): Flight;
  abstract of(replica: string): ReplicaLoad;
  abstract own(replica: string): ReplicaLoad;
  abstract digest(): LoadDigest;
  abstract takeDigest(peer: string, digest: LoadDigest): void;
}

/** A peer that was not heard for so long has no say in the load. */
const DIGEST_LIFETIME: Milliseconds = 1_500;

/** Half of the recent tokens are forgotten after this time. */
const RECENT_HALF_LIFE: Milliseconds = 1_500;

const NONE: ReplicaLoad = { requests: 0, unread: 0, memory: 0, recent: 0 };

interface Recent {
  readonly at: Milliseconds;
  readonly tokens: Tokens;
}

interface Heard {
  readonly at: Milliseconds;
  readonly digest: LoadDigest;
}

export function createLoadView(clock: Clock): LoadView {
  const own = new Map<string, ReplicaLoad>();
  const recents = new Map<string, Recent>();
  const peers = new Map<string, Heard>();

  function recentOf(replica: string): Tokens {
    const known = recents.get(replica);
    if (known === undefined) return 0;
    const halves = (clock.monotonic() - known.at) / RECENT_HALF_LIFE;
    return known.tokens * 2 ** -halves;
  }

  function add(replica: string, change: ReplicaLoad): void {
    const next = sum(own.get(replica) ?? NONE, change);
    if (next.requests <= 0) own.delete(replica);
    else own.set(replica, next);
  }

  function load(replica: string): ReplicaLoad {
    let total = { ...own.get(replica) ?? NONE, recent: recentOf(replica) };
    const oldest = clock.monotonic() - DIGEST_LIFETIME;
    for (const [peer, { at, digest }] of peers) {
      if (at < oldest) {
        peers.delete(peer);
        continue;
      }
      const entry = digest[replica];
      if (entry === undefined) continue;
      const [requests, unread, memory, recent] = entry;
      total = sum(total, { requests, unread, memory, recent });
    }
    return total;
  }

  return new (class extends LoadView {
    override start(
      replica: string,
      { unread, memory }: { readonly unread: Tokens; readonly memory: Tokens },
    ): Flight {
      add(replica, { requests: 1, unread, memory, recent: 0 });
      const tokens = recentOf(replica) + unread;
      recents.set(replica, { at: clock.monotonic(), tokens });
      let isRead = false;
      let hasEnded = false;
      const noteFirstToken = () => {
        if (isRead) return;
        isRead = true;
        add(replica, { requests: 0, unread: -unread, memory: 0, recent: 0 });
      };
      return {
        noteFirstToken,
        end() {
          if (hasEnded) return;
          hasEnded = true;
          noteFirstToken();
          add(replica, { requests: -1, unread: 0, memory: -memory, recent: 0 });
        },
      };
    }

    override of(replica: string): ReplicaLoad {
      return load(replica);
    }

    override own(replica: string): ReplicaLoad {
      return own.get(replica) ?? NONE;
    }

    override digest(): LoadDigest {
      return Object.fromEntries(
        [...own].map(([replica, { requests, unread, memory }]) => [
          replica,
          [
            requests,
            unread,
            memory,
            Math.round(recentOf(replica)),
          ] as const,
        ]),
      );
    }

    override takeDigest(peer: string, digest: LoadDigest): void {
      peers.set(peer, { at: clock.monotonic(), digest });
    }
  })();
}

function sum(left: ReplicaLoad, right: ReplicaLoad): ReplicaLoad {
  return {
    requests: left.requests + right.requests,
    unread: left.unread + right.unread,
    memory: left.memory + right.memory,
    recent: left.recent + right.recent,
  };
}
