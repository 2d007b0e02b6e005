/**
 * Load in flight at each replica, from this daemon and from the digests of its
 * peers.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Tokens } from "@peridotvalve/types";

export interface ReplicaLoad {
  readonly requests: number;
  /** Prompt tokens of requests whose first token has not been received. */
  readonly unread: Tokens;
  /** Memory that the requests need at their full output length. */
  readonly memory: Tokens;
  /** Exponentially decaying sum of the prompt tokens sent to the replica. */
  readonly recentTokens: Tokens;
}

/** Load by replica, in the form in which a daemon sends it to its peers. */
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

export interface TrackedRequest {
  /** Records that the replica has finished the prefill of the prompt. */
  recordFirstToken(): void;
  end(): void;
}

export abstract class LoadView {
  abstract trackRequest(
    replica: string,
    size: { readonly unread: Tokens; readonly memory: Tokens },
  ): TrackedRequest;
  abstract totalLoad(replica: string): ReplicaLoad;
  abstract localLoad(replica: string): ReplicaLoad;
  abstract digest(): LoadDigest;
  abstract applyDigest(peer: string, digest: LoadDigest): void;
}

/** The digest of a peer is ignored after this time without a new one. */
const DIGEST_MAX_AGE: Milliseconds = 1_500;

/** Half-life of the sum of recent prompt tokens. */
const RECENT_HALF_LIFE: Milliseconds = 1_500;

const NO_LOAD: ReplicaLoad = {
  requests: 0,
  unread: 0,
  memory: 0,
  recentTokens: 0,
};

interface DecayingSum {
  readonly at: Milliseconds;
  readonly tokens: Tokens;
}

interface ReceivedDigest {
  readonly at: Milliseconds;
  readonly digest: LoadDigest;
}

export function createLoadView(clock: Clock): LoadView {
  const localLoads = new Map<string, ReplicaLoad>();
  const recentSums = new Map<string, DecayingSum>();
  const peerDigests = new Map<string, ReceivedDigest>();

  function recentTokensOf(replica: string): Tokens {
    const known = recentSums.get(replica);
    if (known === undefined) return 0;
    const halfLives = (clock.monotonic() - known.at) / RECENT_HALF_LIFE;
    return known.tokens * 2 ** -halfLives;
  }

  function add(replica: string, change: ReplicaLoad): void {
    const next = sum(localLoads.get(replica) ?? NO_LOAD, change);
    if (next.requests <= 0) localLoads.delete(replica);
    else localLoads.set(replica, next);
  }

  function computeTotal(replica: string): ReplicaLoad {
    let total = {
      ...localLoads.get(replica) ?? NO_LOAD,
      recentTokens: recentTokensOf(replica),
    };
    const oldest = clock.monotonic() - DIGEST_MAX_AGE;
    for (const [peer, { at, digest }] of peerDigests) {
      if (at < oldest) {
        peerDigests.delete(peer);
        continue;
      }
      const entry = digest[replica];
      if (entry === undefined) continue;
      const [requests, unread, memory, recentTokens] = entry;
      total = sum(total, { requests, unread, memory, recentTokens });
    }
    return total;
  }

  return new (class extends LoadView {
    override trackRequest(
      replica: string,
      { unread, memory }: { readonly unread: Tokens; readonly memory: Tokens },
    ): TrackedRequest {
      add(replica, { requests: 1, unread, memory, recentTokens: 0 });
      const tokens = recentTokensOf(replica) + unread;
      recentSums.set(replica, { at: clock.monotonic(), tokens });
      let hasFirstToken = false;
      let hasEnded = false;
      const recordFirstToken = () => {
        if (hasFirstToken) return;
        hasFirstToken = true;
        add(replica, {
          requests: 0,
          unread: -unread,
          memory: 0,
          recentTokens: 0,
        });
      };
      return {
        recordFirstToken,
        end() {
          if (hasEnded) return;
          hasEnded = true;
          recordFirstToken();
          add(replica, {
            requests: -1,
            unread: 0,
            memory: -memory,
            recentTokens: 0,
          });
        },
      };
    }

    override totalLoad(replica: string): ReplicaLoad {
      return computeTotal(replica);
    }

    override localLoad(replica: string): ReplicaLoad {
      return localLoads.get(replica) ?? NO_LOAD;
    }

    override digest(): LoadDigest {
      return Object.fromEntries(
        [...localLoads].map(([replica, { requests, unread, memory }]) => [
          replica,
          [
            requests,
            unread,
            memory,
            Math.round(recentTokensOf(replica)),
          ] as const,
        ]),
      );
    }

    override applyDigest(peer: string, digest: LoadDigest): void {
      peerDigests.set(peer, { at: clock.monotonic(), digest });
    }
  })();
}

function sum(left: ReplicaLoad, right: ReplicaLoad): ReplicaLoad {
  return {
    requests: left.requests + right.requests,
    unread: left.unread + right.unread,
    memory: left.memory + right.memory,
    recentTokens: left.recentTokens + right.recentTokens,
  };
}
