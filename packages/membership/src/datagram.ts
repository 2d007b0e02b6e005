/**
 * Contents and size limits of the datagrams between daemons.
 */
import type { Bytes, Milliseconds } from "@peridotvalve/types";

/**
 * Fits the smallest common path MTU without fragmentation (docs/design.md,
 * section 7.6).
 */
export const MAX_DATAGRAM: Bytes = 1_200;

/** Length of the IPv4 and UDP headers sent with each datagram. */
export const HEADER_BYTES: Bytes = 28;

/** Fields that every datagram has. */
export interface DatagramHeader {
  readonly name: string;
  readonly incarnation: string;
  /** Increases with each datagram of an incarnation. */
  readonly sequence: number;
  /** Version of the configuration that the sender uses. */
  readonly version: number;
  /** Hybrid logical clock stamp in its compact form. */
  readonly clock: string;
}

/** Sent to each peer of the same availability zone. */
export interface Heartbeat extends DatagramHeader {
  readonly kind: "heartbeat";
  /** Time until the sender's next heartbeat. */
  readonly interval: Milliseconds;
  readonly draining: boolean;
  /** Load digest; opaque to this package. */
  readonly digest?: unknown;
  /** Incarnations of upstreams that are leaving. */
  readonly leaving?: readonly string[];
  /**
   * Incarnation that the sender knows for the named receiver; sent to one that
   * restarted with a lower incarnation.
   */
  readonly knownIncarnation?: readonly [name: string, incarnation: string];
}

/** Sent by one daemon of a zone to two daemons of every other zone. */
export interface Aggregate extends DatagramHeader {
  readonly kind: "aggregate";
  readonly zone: string;
  /** Load per group and link bytes used; opaque to this package. */
  readonly content: unknown;
}

export type Datagram = Heartbeat | Aggregate;

/** Why a datagram was rejected. */
export type Rejection =
  | "too long"
  | "too short"
  | "bad signature"
  | "malformed"
  | "unknown sender"
  | "replayed"
  | "old incarnation";
