/**
 * Stand-ins for engines, store VMs, the platform and plain services.
 */
export * from "./platform/mod.ts";
