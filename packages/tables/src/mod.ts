/**
 * Client of the platform: transactional tables, immutable objects and the
 * lagging list of VMs.
 */
export * from "./http_platform.ts";
export * from "./memory_platform.ts";
export * from "./platform.ts";
export * from "./table_store.ts";
export { createExchanger, type Exchange, type Exchanger } from "./exchange.ts";
export * from "./feed.ts";
