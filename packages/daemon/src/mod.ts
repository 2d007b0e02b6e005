/**
 * Listeners, request paths and graceful shutdown.
 */
export {};
