/**
 * Stand-ins that speak the protocol of the users' platform (docs/platform.md).
 */
export * from "./replica.ts";
export * from "./tables.ts";
