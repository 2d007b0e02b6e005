/**
 * Numbered events, hybrid logical clock, logger and time line.
 */
export {};
