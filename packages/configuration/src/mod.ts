/**
 * Applies, reads and watches the versions of the configuration.
 */
export * from "./apply.ts";
export * from "./history.ts";
export * from "./watch.ts";
export type { Change } from "./rows.ts";
