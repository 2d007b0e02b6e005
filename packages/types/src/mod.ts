/**
 * Read-only data types shared by all packages. Apart from a few constants this
 * package has no runtime code, so any package can depend on it at no cost.
 */
export * from "./configuration.ts";
export * from "./settlement.ts";
export * from "./units.ts";
export * from "./upstream.ts";
