/**
 * Load digests of peers and load reports of replicas.
 */
export {};
