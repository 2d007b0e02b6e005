/**
 * Type aliases for units used across packages. An alias documents the unit of
 * a number in a signature; the compiler does not tell the aliases apart.
 */

/** A duration in milliseconds. */
export type Milliseconds = number;

/** A point in time in milliseconds since the Unix epoch. */
export type Timestamp = number;

/** A size in bytes. */
export type Bytes = number;

/** A number of model tokens. */
export type Tokens = number;

/** A number of requests per second. */
export type RequestRate = number;

/** One second, in milliseconds. */
export const SECOND: Milliseconds = 1_000;

/** One minute, in milliseconds. */
export const MINUTE: Milliseconds = 60 * SECOND;
