/**
 * Stand-ins for engines, store VMs, the weight store, the platform, plain
 * services and the legacy system. Tests start them in their own process.
 */
export * from "./platform/mod.ts";
export * from "./engine/mod.ts";
export * from "./fleet/mod.ts";
export * from "./legacy/mod.ts";
export type { Standin } from "./server.ts";
export * from "./service/mod.ts";
export * from "./store_vm/mod.ts";
export * from "./weight_store/mod.ts";
