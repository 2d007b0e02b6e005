/**
 * Candidate ranking and baseline policies.
 */
export {};
