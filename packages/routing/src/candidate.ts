/**
 * The input and output of a placement decision.
 */
import type { Bytes, Milliseconds, Tokens } from "@peridotvalve/types";

export type ReplicaHealth = "healthy" | "suspect" | "slow";

/** What a daemon knows of one replica at the time of a decision. */
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
  /** Requests that the replica runs at once without loss of speed. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Newest load report; absent while none has arrived. */
  readonly reported?: ReportedLoad;
  /** Dispatches of this daemon and its peers that no report shows yet. */
  readonly unreported: { readonly requests: number; readonly tokens: Tokens };
  readonly health: ReplicaHealth;
  /** True when a probe of a slow replica is due; one request may go there. */
  readonly probeDue: boolean;
}

export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /** Tokens of waiting requests that the replica has to prefill. */
  readonly queuedTokens: Tokens;
  /** Time since the replica took the report's values. */
  readonly age: Milliseconds;
}

/** Leading blocks of the prompt that a store VM holds. */
export interface StoreCopy {
  readonly store: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Count of leading blocks, without a hole. */
  readonly blocks: number;
  /** Remaining rate of the store VM's own link. */
  readonly bytesPerSecond: number;
}

/** One request to be placed. */
export interface PlacementRequest {
  /** Key of the conversation; equal keys share a rendezvous order. */
  readonly conversation: string;
  readonly customer: string;
  /** Weight version for which the request is planned. */
  readonly weights: string;
  /** Chained hashes of the prompt's whole blocks, first block first. */
  readonly blocks: readonly string[];
  readonly tokensPerBlock: Tokens;
  readonly promptTokens: Tokens;
  readonly promptBytes: Bytes;
  /** Size of one KV cache block. */
  readonly blockBytes: Bytes;
  readonly barredZones: readonly string[];
  /** True when the conversation was served before. */
  readonly returning: boolean;
  readonly copies: readonly StoreCopy[];
  /** Replicas that failed earlier attempts of this request. */
  readonly excluded?: readonly string[];
}

/** Where the prompt's prefix comes from and where the request runs. */
export type PlacementKind =
  | "cached"
  | "import"
  | "recompute"
  | "other zone"
  | "other region";

/** The parts of an estimate; their sum is the estimate. */
export interface EstimateParts {
  readonly queue: Milliseconds;
  readonly recompute: Milliseconds;
  readonly transfer: Milliseconds;
  readonly distance: Milliseconds;
  /** Surcharge for a replica that is suspect, slow or due for a probe. */
  readonly caution: Milliseconds;
}

export interface RankedCandidate {
  readonly candidate: Candidate;
  readonly kind: PlacementKind;
  /** Expected time to first token. */
  readonly estimate: Milliseconds;
  readonly parts: EstimateParts;
  /** Why the candidate has this place, for logs. */
  readonly reason: string;
  /** Bytes that the choice sends over the region link. */
  readonly linkBytes: Bytes;
  /** Present for `import`: the store VM and the count of leading blocks. */
  readonly copy?: StoreCopy;
}
