/**
 * Starts deployments of daemons and stand-ins as processes on loopback.
 */
export * from "./binary.ts";
export * from "./crowds.ts";
export * from "./deployment.ts";
export * from "./example.ts";
export * from "./processes.ts";
