/**
 * Names for the units that cross package boundaries. The aliases document a
 * number's unit in signatures; they are not distinct types.
 */

/** A span of time in milliseconds. */
export type Milliseconds = number;

/** A point in time in milliseconds since the Unix epoch. */
export type Timestamp = number;

/** A size in bytes. */
export type Bytes = number;

/** A count of model tokens. */
export type Tokens = number;

/** Milliseconds in a second. */
export const SECOND: Milliseconds = 1_000;

/** Milliseconds in a minute. */
export const MINUTE: Milliseconds = 60 * SECOND;
