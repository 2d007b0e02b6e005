/**
 * Stand-ins that speak the protocol of the users' platform.
 */
export * from "./replica.ts";
export * from "./tables.ts";
