/**
 * The command line of peridotvalve.
 */
export { runCommandLine } from "./application.ts";
export type { Environment } from "./environment.ts";
export * from "./exit_codes.ts";
