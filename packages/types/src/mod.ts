/**
 * Read-only data types shared by all packages. This package has no code that
 * runs apart from a few constants, so that every other package can depend on
 * it without cost.
 */
export * from "./configuration.ts";
export * from "./settlement.ts";
export * from "./units.ts";
export * from "./upstream.ts";
