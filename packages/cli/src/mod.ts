/**
 * The command line of peridotvalve.
 */
export {};
