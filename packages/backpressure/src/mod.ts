/**
 * What replicas say of themselves in their answers, and the pace that daemons
 * keep because of it.
 */
export * from "./cold_replicas.ts";
export { type FleetPosition, type Tolerance } from "./equal_slots.ts";
export * from "./incarnation.ts";
export * from "./limits.ts";
export * from "./places.ts";
export * from "./pushback.ts";
export * from "./statement.ts";
export { type StatementNews } from "./statement_news.ts";
export * from "./statements.ts";
