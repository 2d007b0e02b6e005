/**
 * Weighted rendezvous hashing, optionally with bounded load.
 */
export * from "./rendezvous.ts";
