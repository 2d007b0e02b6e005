/**
 * Control calls to replicas and stores: reports, orders, cache events and the
 * freeing of parts.
 */
import type { CacheEvent, Replica, ReplicaEntry } from "@peridotvalve/dispatch";
import type { Unavailable } from "@peridotvalve/tables";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import type { Result } from "ts-results-es";

/** Takes an answer to a call that was sent at `askedAt`. */
export interface ColdTimeRecorder {
  (
    entry: ReplicaEntry,
    remaining: Milliseconds,
    askedAt: Milliseconds,
  ): void;
}

export interface ReplicaReport {
  /** True while the replica carries out an order. */
  readonly isBusy: boolean;
  /** Number of orders accepted since the replica started. */
  readonly orders: number;
  /** Weight version by model. */
  readonly weights: ReadonlyMap<string, number>;
}

export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  /** Fencing token. */
  readonly fence: number;
  /**
   * The replica rejects the order unless it has accepted exactly this number of
   * orders.
   */
  readonly expectedOrders: number;
}

/**
 * "unknown" means that no response arrived; the order may still be carried out,
 * even much later.
 */
export type OrderResult =
  | "accepted"
  | "already holds"
  | "conflict"
  | "fenced"
  | "misdirected"
  | "rejected"
  | "unknown";

export interface CacheEventPage {
  /** Identifies a run of the holder; it changes with a restart. */
  readonly epoch: number;
  readonly next: number;
  readonly hasGap: boolean;
  /** Time on the replicas' clock; absent when the response has none. */
  readonly time?: Timestamp;
  readonly events: readonly CacheEvent[];
}

export interface CacheEventQuery {
  readonly since: number;
  readonly wait: Milliseconds;
}

export interface PartsToFree {
  readonly parts: readonly (readonly [salt: string, part: string])[];
  readonly epoch: number;
}

export abstract class ReplicaControl {
  abstract report(
    replica: Replica,
  ): Promise<Result<ReplicaReport, Unavailable>>;
  /** Resolves with true when the replica answers anything in a short time. */
  abstract isReachable(replica: Replica): Promise<boolean>;
  abstract order(replica: Replica, order: WeightOrder): Promise<OrderResult>;
  abstract cacheEvents(
    address: string,
    query: CacheEventQuery,
  ): Promise<Result<CacheEventPage, Unavailable>>;
  /**
   * Frees parts of a store unless it has restarted since the epoch; resolves
   * with true when the store confirmed it.
   */
  abstract freeParts(address: string, freeing: PartsToFree): Promise<boolean>;
}
