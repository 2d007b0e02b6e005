/**
 * The daemon between callers and replicas that are listed in tables of the
 * platform.
 */
export * from "./bounded_log.ts";
export * from "./header_codec.ts";
export * from "./gateway.ts";
export * from "./intake.ts";
export * from "./options.ts";
export * from "./replica_control.ts";
export { limitFetches } from "./attempt_sending.ts";
export { filterHopByHopHeaders as passOn } from "./caller.ts";
