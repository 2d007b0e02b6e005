/**
 * What the datagrams between daemons say, and their limits.
 */
import type { Bytes, Milliseconds } from "@peridotvalve/types";

/** Fits the smallest usual path MTU without fragments (docs/design.md 7.6). */
export const MAX_DATAGRAM: Bytes = 1_200;

/** IPv4 and UDP headers, which the link carries with each datagram. */
export const HEADER_BYTES: Bytes = 28;

/** What every datagram carries. */
export interface Announcement {
  readonly name: string;
  readonly incarnation: string;
  /** Rises with each datagram of an incarnation. */
  readonly sequence: number;
  /** Version of the configuration in force. */
  readonly version: number;
  /** Stamp of the hybrid logical clock in its compact form. */
  readonly clock: string;
}

/** To each peer of the same availability zone. */
export interface Heartbeat extends Announcement {
  readonly kind: "heartbeat";
  /** Time to the sender's next heartbeat. */
  readonly interval: Milliseconds;
  readonly draining: boolean;
  /** The load digest; opaque here. */
  readonly digest?: unknown;
  /** Incarnations of upstreams seen leaving. */
  readonly leaving?: readonly string[];
  /** The incarnation that the sender holds for the named receiver. */
  readonly known?: readonly [name: string, incarnation: string];
}

/** From one daemon of a zone to two daemons of every other zone. */
export interface Aggregate extends Announcement {
  readonly kind: "aggregate";
  readonly zone: string;
  /** Load for each group and link bytes used; opaque here. */
  readonly content: unknown;
}

export type Datagram = Heartbeat | Aggregate;

/** Why a datagram was not accepted. */
export type Rejection =
  | "too long"
  | "too short"
  | "bad signature"
  | "malformed"
  | "replayed"
  | "old incarnation";
