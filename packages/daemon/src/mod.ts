/**
 * The daemon: listeners, request paths and graceful shutdown.
 */
export * from "./daemon.ts";
export * from "./run.ts";
