/**
 * Heartbeats, incarnations and liveness of peers.
 */
export {};
