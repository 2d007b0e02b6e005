/**
 * Records the history of concurrent runs of a deployment and checks the
 * service guarantees against it (docs/proofs.md).
 */
export * from "./checks/mod.ts";
export { groupBy } from "./checks/orders.ts";
export * from "./faults.ts";
export * from "./history.ts";
export * from "./random.ts";
export * from "./records.ts";
export * from "./recorder.ts";
export * from "./run.ts";
export * from "./schedule.ts";
export { isMechanism, type Mechanism } from "./weakened_build.ts";
