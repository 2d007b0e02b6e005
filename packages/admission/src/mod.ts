/**
 * Admission: fair queuing by customer, deadlines from the caller's patience,
 * an adaptive limit of concurrent requests and the limits of customers.
 * Nothing here does input or output.
 */
export * from "./admission.ts";
export * from "./concurrency_limit.ts";
export * from "./customer_limits.ts";
export * from "./request.ts";
