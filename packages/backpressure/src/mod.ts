/**
 * What replicas say of themselves in their answers, and the pace that daemons
 * keep because of it.
 */
export * from "./incarnation.ts";
export * from "./statements.ts";
