/**
 * Configuration head, compare-and-set apply and watch.
 */
export * from "./apply.ts";
export * from "./history.ts";
export * from "./watch.ts";
export type { Change } from "./rows.ts";
