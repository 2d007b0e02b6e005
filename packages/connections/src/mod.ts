/**
 * Connections of clients and servers: a connector for `undici` that tells a reset
 * from a regular end, and the connections of a server that shuts down.
 */
export * from "./connector.ts";
export * from "./server_connections.ts";
