/**
 * The exit codes of the command line, documented in docs/cli.md.
 */

export type ExitCode = 0 | 1 | 2 | 3 | 4 | 5 | 6 | 7;

export const SUCCESS: ExitCode = 0;

/** The input was rejected, not found, or has problems. */
export const REJECTED: ExitCode = 1;

/** Invalid arguments, or a command that the build does not include. */
export const USAGE_ERROR: ExitCode = 2;

/** The change may or may not have taken effect. */
export const UNKNOWN_OUTCOME: ExitCode = 3;

/** No connection, no response in time, or the daemon cannot serve the call. */
export const UNREACHABLE: ExitCode = 4;

/** The change was accepted, but not adopted by all daemons in time. */
export const LAGGING: ExitCode = 5;

/** The daemon rejected the token or the call, or its response is invalid. */
export const UNEXPECTED_RESPONSE: ExitCode = 6;

/** A bug in the program. */
export const INTERNAL_ERROR: ExitCode = 7;
