/**
 * Connections of clients and servers: a connector for `undici` that tells a reset
 * from a regular end, a queue and a budget of received bytes, and the connections of
 * a server that shuts down.
 */
export * from "./byte_budget.ts";
export * from "./byte_queue.ts";
export * from "./connector.ts";
export * from "./server_connections.ts";
