/**
 * The daemon between callers and replicas that describe themselves in tables
 * of the platform.
 */
export * from "./bounded_log.ts";
export * from "./dialect.ts";
export * from "./gateway.ts";
export * from "./parts.ts";
export * from "./replica_control.ts";
export { passOn } from "./caller.ts";
