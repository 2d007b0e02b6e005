/**
 * The version of the program. scripts/build.ts puts it in at build time.
 */
declare const PERIDOTVALVE_VERSION: string | undefined;

/** The version of package.json, or "development" when run from the sources. */
export const version: string = typeof PERIDOTVALVE_VERSION === "undefined"
  ? "development"
  : PERIDOTVALVE_VERSION;
