/**
 * At-most-once claims over table rows.
 */
export {};
