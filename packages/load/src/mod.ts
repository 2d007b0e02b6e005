/**
 * Load digests of peers and load reports of replicas.
 */
export * from "./board.ts";
export { SWEEP_PERIOD } from "./delta_table.ts";
export * from "./load_board.ts";
export * from "./poller.ts";
export type { Digest } from "./wire.ts";
