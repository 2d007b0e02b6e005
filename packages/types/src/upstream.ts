/**
 * Data that upstreams report about themselves and the names of what they hold.
 */
import type { Bytes, Milliseconds, Timestamp, Tokens } from "./units.ts";

/** Where a replica stands in its life. */
export type ReplicaState = "ready" | "loading" | "leaving";

/** A replica's load report. It is as old as the replica's reporting lag. */
export interface LoadReport {
  /** Random id made when the replica started. */
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

/** The name of one KV cache block. Blocks of two customers are never the same. */
export interface BlockName {
  readonly customer: string;
  readonly weights: string;
  /** Hash chain over the tokens up to and including this block, in hex. */
  readonly block: string;
}

/** What a store VM or an engine confirms about a stored block. */
export interface StoredBlock {
  readonly name: BlockName;
  readonly incarnation: string;
  readonly generation: string;
  readonly length: Bytes;
  readonly checksum: string;
}

/** The place from which a stream continues. */
export interface ResumePoint {
  /** Count of tokens that the caller has. */
  readonly offset: Tokens;
  /** Their text. */
  readonly text: string;
}

/** Work for an engine. */
export interface Generation {
  readonly attempt: string;
  readonly request: string;
  readonly customer: string;
  /** The weight version for which the request was planned. */
  readonly weights: string;
  readonly prompt: string;
  readonly maxTokens: Tokens;
  /** Lower runs first. */
  readonly priority: number;
  readonly resume?: ResumePoint;
}

/** One event of an engine's stream, as the engine sent it. */
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
