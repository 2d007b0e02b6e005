/**
 * Estimates of the current load of each replica, from load reports and from the
 * digests that daemons exchange.
 */
export * from "./load.ts";
export { type Delta, SWEEP_PERIOD } from "./delta_table.ts";
export * from "./load_tracker.ts";
export * from "./load_view.ts";
export { packEntry, replicaKey, unpackEntries } from "./packed.ts";
export * from "./poller.ts";
export type { SharedPart } from "./shared_memory.ts";
export { type Digest, digestSchema } from "./wire.ts";
