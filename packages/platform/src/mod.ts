/**
 * Client of the platform: transactional tables, immutable objects and the
 * lagging list of VMs.
 */
export * from "./platform.ts";
