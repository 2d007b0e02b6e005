/**
 * Stand-in for the platform: tables, objects and the list of VMs.
 */
export * from "./server.ts";
export type { FaultChange, PlatformFaults } from "./faults.ts";
