/**
 * The version of the program, defined at build time by scripts/build.ts.
 */
declare const PERIDOTVALVE_VERSION: string | undefined;

/** The version in package.json, or "development" when run from sources. */
export const version: string = typeof PERIDOTVALVE_VERSION === "undefined"
  ? "development"
  : PERIDOTVALVE_VERSION;
