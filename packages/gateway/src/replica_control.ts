/**
 * Calls to replicas beside requests: reports, orders and cache events.
 */
import type { CacheEvent, Replica } from "@peridotvalve/dispatch";
import type { Unavailable } from "@peridotvalve/tables";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import type { Result } from "ts-results-es";

export interface ReplicaReport {
  /** True while an order is carried out. */
  readonly isBusy: boolean;
  /** Orders accepted since the replica's start. */
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
  /** The replica carries the order out only at this count of orders. */
  readonly expectedOrders: number;
}

/**
 * "unknown": no answer came; the order may be carried out, also much later.
 */
export type OrderAnswer =
  | "accepted"
  | "already holds"
  | "conflict"
  | "fenced"
  | "misdirected"
  | "rejected"
  | "unknown";

export interface CachePage {
  /** Differs after a restart of the replica. */
  readonly epoch: number;
  readonly next: number;
  readonly hasGap: boolean;
  /** Time on the replicas' clock; absent when the answer has none. */
  readonly time?: Timestamp;
  readonly events: readonly CacheEvent[];
}

export interface CacheQuery {
  readonly since: number;
  readonly wait: Milliseconds;
}

export interface Freeing {
  readonly parts: readonly (readonly [salt: string, part: string])[];
  readonly epoch: number;
}

export abstract class ReplicaControl {
  abstract report(
    replica: Replica,
  ): Promise<Result<ReplicaReport, Unavailable>>;
  abstract order(replica: Replica, order: WeightOrder): Promise<OrderAnswer>;
  abstract cacheEvents(
    address: string,
    query: CacheQuery,
  ): Promise<Result<CachePage, Unavailable>>;
  /** Frees parts of a store that has not been restarted since the epoch. */
  abstract freeParts(address: string, freeing: Freeing): Promise<boolean>;
}
