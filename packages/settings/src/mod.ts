/**
 * Process settings and the operators' folder: schema, merge and check.
 */
export {};
