/**
 * Weighted rendezvous hashing.
 */
export * from "./rendezvous.ts";
