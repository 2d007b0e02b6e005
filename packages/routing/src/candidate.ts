/**
 * The input and output types of a placement decision.
 */
import type { Bytes, Milliseconds, Tokens } from "@peridotvalve/types";

export type ReplicaHealth = "healthy" | "suspect" | "slow";

/** State of one replica as known to the daemon at the time of a decision. */
export interface Candidate {
  /** The replica's name in its model group. */
  readonly name: string;
  /** The incarnation of the newest load report. */
  readonly incarnation?: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Weight version that the replica serves. */
  readonly weights: string;
  readonly state: "ready" | "loading" | "leaving" | "dead";
  /** Relative capacity; the weight in rendezvous hashing. */
  readonly weight: number;
  /** Requests that the replica can run concurrently without slowing down. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Newest load report; absent until one has arrived. */
  readonly reported?: ReportedLoad;
  /** Dispatches of this daemon and its peers that no report includes yet. */
  readonly unreported: { readonly requests: number; readonly tokens: Tokens };
  readonly health: ReplicaHealth;
  /** True if a probe is due, so that one request may go to a slow replica. */
  readonly probeDue: boolean;
}

export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Tokens of waiting requests that still have to be prefilled. */
  readonly queuedTokens: Tokens;
  /** Time since the replica created the report. */
  readonly age: Milliseconds;
}

/** A copy of the prompt's leading blocks on a store VM. */
export interface StoreCopy {
  readonly store: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Number of leading blocks, without holes. */
  readonly blocks: number;
  /** Remaining bandwidth of the store VM's own link. */
  readonly bytesPerSecond: number;
}

/** One request to be placed. */
export interface PlacementRequest {
  /** Key of the conversation, which determines the rendezvous order. */
  readonly conversation: string;
  readonly customer: string;
  /** Weight version that must serve the request. */
  readonly weights: string;
  /** Chained hashes of the prompt's complete blocks, in order. */
  readonly blocks: readonly string[];
  readonly tokensPerBlock: Tokens;
  readonly promptTokens: Tokens;
  readonly promptBytes: Bytes;
  /** Size of one KV cache block. */
  readonly blockBytes: Bytes;
  readonly barredZones: readonly string[];
  /** True if the conversation was served before. */
  readonly returning: boolean;
  readonly copies: readonly StoreCopy[];
  /** Replicas that failed earlier attempts of this request. */
  readonly excluded?: readonly string[];
}

/**
 * How the replica gets the prompt's prefix, or where it has to be recomputed.
 */
export type PlacementKind =
  | "cached"
  | "import"
  | "recompute"
  | "other zone"
  | "other region";

/** The terms of an estimate, which is their sum. */
export interface EstimateParts {
  readonly queue: Milliseconds;
  readonly recompute: Milliseconds;
  /** Transfer of the prompt and of imported cache blocks. */
  readonly transfer: Milliseconds;
  /** Network round-trip time to the replica. */
  readonly distance: Milliseconds;
  /** Penalty for a suspect or slow replica; 0 if a probe is due. */
  readonly caution: Milliseconds;
}

export interface RankedCandidate {
  readonly candidate: Candidate;
  readonly kind: PlacementKind;
  /** Expected time to first token. */
  readonly estimate: Milliseconds;
  readonly parts: EstimateParts;
  /** Explanation of the rank, for logs. */
  readonly reason: string;
  /** Bytes that this choice would send over the region link. */
  readonly linkBytes: Bytes;
  /** The copy to import; present only for the kind `import`. */
  readonly copy?: StoreCopy;
}
