/**
 * Stand-in for the platform, which serves tables, objects and the list of VMs.
 */
export * from "./server.ts";
export type { FaultChange, PlatformFaults } from "./faults.ts";
