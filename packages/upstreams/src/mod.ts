/**
 * Clients of upstreams. Each kind of upstream is one abstract class; a wire
 * format is one file that extends it.
 */
export * from "./end_to_end.ts";
export * from "./engine.ts";
export * from "./plain_service.ts";
export * from "./store_vm.ts";
export * from "./http_engine.ts";
export * from "./http_plain_service.ts";
export * from "./http_store_vm.ts";
