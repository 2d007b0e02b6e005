/**
 * Data exchanged with upstreams: load reports, KV cache blocks, and generation
 * requests and events.
 */
import type { Bytes, Milliseconds, Timestamp, Tokens } from "./units.ts";

/** Lifecycle state of a replica. */
export type ReplicaState = "ready" | "loading" | "leaving";

/** Load of a replica at time `at`. Stale by the replica's reporting delay. */
export interface LoadReport {
  /** Random id that the replica generates when it starts. */
  readonly incarnation: string;
  readonly weights: string;
  readonly state: ReplicaState;
  readonly running: number;
  readonly waiting: number;
  readonly queuedTokens: Tokens;
  readonly usedBlocks: number;
  readonly freeBlocks: number;
  readonly at: Timestamp;
}

/** Identifies a KV cache block. Customers never share blocks. */
export interface BlockName {
  readonly customer: string;
  readonly weights: string;
  /** Chained hash of the tokens up to and including this block, in hex. */
  readonly block: string;
}

/** Confirmation of a stored block by a store VM or an engine. */
export interface StoredBlock {
  readonly name: BlockName;
  readonly incarnation: string;
  readonly generation: string;
  readonly length: Bytes;
  readonly checksum: string;
}

/** Position from which a stream is resumed. */
export interface ResumePoint {
  /** Number of tokens that the caller has received. */
  readonly offset: Tokens;
  /** Text of those tokens. */
  readonly text: string;
}

/** A generation request to an engine. */
export interface Generation {
  readonly attempt: string;
  readonly request: string;
  readonly customer: string;
  /** Weight version for which the request was placed. */
  readonly weights: string;
  readonly prompt: string;
  readonly maxTokens: Tokens;
  /** Lower values run first. */
  readonly priority: number;
  readonly resume?: ResumePoint;
}

/** An event of an engine's response stream, as sent by the engine. */
export type GenerationEvent =
  | {
    readonly kind: "start";
    readonly attempt: string;
    readonly weights: string;
    readonly cachedTokens: Tokens;
    readonly queuedMilliseconds: Milliseconds;
  }
  | {
    readonly kind: "token";
    readonly attempt: string;
    readonly offset: Tokens;
    readonly text: string;
  }
  | {
    readonly kind: "end";
    readonly attempt: string;
    readonly count: Tokens;
    readonly finish: "stop" | "length" | "cancelled";
  };
