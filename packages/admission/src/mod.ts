/**
 * Admission control: fair queuing by customer, deadlines from the caller's
 * patience, an adaptive concurrency limit and customer limits. This package
 * does no input or output.
 */
export * from "./admission.ts";
export * from "./concurrency_limit.ts";
export * from "./customer_limits.ts";
export * from "./replica_contact.ts";
export * from "./request.ts";
export * from "./send_gate.ts";
export * from "./shutdown_admission.ts";
