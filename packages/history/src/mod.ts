/**
 * Records concurrent runs of a deployment and checks the guarantees on their
 * history (docs/proofs.md).
 */
export * from "./checks/mod.ts";
export * from "./faults.ts";
export * from "./history.ts";
export * from "./records.ts";
export * from "./recorder.ts";
export * from "./run.ts";
export * from "./schedule.ts";
export { isMechanism, type Mechanism } from "./weakened_build.ts";
