/**
 * Clients of upstreams. Each kind of upstream is an abstract class; each wire
 * protocol is a subclass in a file of its own.
 */
export * from "./headers.ts";
export * from "./engine.ts";
export * from "./plain_service.ts";
export * from "./store_vm.ts";
export * from "./http_engine.ts";
export * from "./http_plain_service.ts";
export * from "./http_store_vm.ts";
