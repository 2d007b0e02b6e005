/**
 * Connections of clients and servers: a connector for `undici` that tells a reset
 * from a regular end, a queue of received bytes, the memory for what peers send, a
 * reader of bodies within it, and the connections of a server.
 */
export * from "./body_reader.ts";
export * from "./byte_budget.ts";
export * from "./byte_queue.ts";
export * from "./connector.ts";
export * from "./memory_budget.ts";
export * from "./memory_relief.ts";
export * from "./read_turns.ts";
export * from "./server_connections.ts";
