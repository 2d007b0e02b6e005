/**
 * The exit codes of the command line, as docs/cli.md documents them.
 */

export type ExitCode = 0 | 1 | 2 | 3 | 4 | 5 | 6 | 7;

export const SUCCESS: ExitCode = 0;

/** Rejected, not found, or with problems. */
export const REJECTED: ExitCode = 1;

/** Wrong arguments, or a command that this build does not have. */
export const USAGE_ERROR: ExitCode = 2;

/** The change may or may not have taken effect. */
export const UNKNOWN_OUTCOME: ExitCode = 3;

/** No connection, no answer in time, or the daemon cannot serve the call. */
export const UNREACHABLE: ExitCode = 4;

/** The change was accepted, but some daemons did not adopt it in time. */
export const LAGGING: ExitCode = 5;

/** The daemon refused the token or the call, or its answer is not understood. */
export const UNEXPECTED_RESPONSE: ExitCode = 6;

/** A fault in the program itself. */
export const INTERNAL_ERROR: ExitCode = 7;
