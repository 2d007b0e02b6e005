/**
 * What a membership needs from its embedder, and what it offers.
 */
import type { Clock } from "@peridotvalve/clock";
import type { HybridClock } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { ListedPeer, Seed } from "./candidates.ts";
import type { Aggregate, Announcement, Rejection } from "./datagram.ts";
import type { Peer, PeerChange } from "./peer_table.ts";
import type { Transport } from "./transport.ts";

/** A peer that has a newer configuration than this daemon. */
export interface NewerVersion {
  readonly peer: string;
  readonly address: string;
  readonly version: number;
}

/** All are optional and are called in the receiving or checking task. */
export interface MembershipCallbacks {
  readonly onChange?: (change: PeerChange) => void;
  readonly onAnnounce?: (newer: NewerVersion) => void;
  readonly onDigest?: (peer: string, digest: unknown) => void;
  /** An upstream incarnation that a peer has seen leaving. */
  readonly onUpstreamLeaving?: (incarnation: string, peer: string) => void;
  readonly onAggregate?: (aggregate: Aggregate) => void;
  readonly onReject?: (reason: Rejection, from: string) => void;
  /** A peer's clock stamp is too far ahead and was not followed. */
  readonly onDrift?: (peer: string, ahead: Milliseconds) => void;
  /** This process did not run for so long. */
  readonly onPause?: (pause: Milliseconds) => void;
  /** Peers knew a greater incarnation, so this daemon raised its own. */
  readonly onRaise?: (incarnation: string) => void;
}

export interface MembershipOptions extends MembershipCallbacks {
  readonly name: string;
  readonly zone: string;
  /** Shared by all daemons. */
  readonly secret: string;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly transport: Transport;
  readonly seeds: readonly Seed[];
  /**
   * The load digest for the next heartbeat, at most so many bytes of JSON.
   * Called once for each round; undefined when there is nothing to say.
   */
  readonly createDigest?: (limit: Bytes) => unknown;
  /** Content of the aggregate for other zones; called when it is sent. */
  readonly createAggregate?: () => unknown;
}

export interface Traffic {
  /** Datagrams with their UDP and IP headers. */
  readonly sentBytes: Bytes;
  readonly receivedBytes: Bytes;
  readonly sentDatagrams: number;
  readonly receivedDatagrams: number;
  readonly rejectedDatagrams: number;
}

export abstract class Membership {
  /** Sends and receives until the signal aborts. */
  abstract run(signal: AbortSignal): Promise<void>;

  /** The version in force; a higher one is announced at once. */
  abstract setVersion(version: number): void;
  abstract setDraining(draining: boolean): void;
  /** Takes over the platform's lagging VM list, of all zones. */
  abstract setListed(listed: readonly ListedPeer[]): void;
  /** Tells the peers of an upstream incarnation that is leaving. */
  abstract reportUpstreamLeaving(incarnation: string): void;

  abstract identity(): Pick<Announcement, "name" | "incarnation">;
  /** All peers that were heard, without this daemon. */
  abstract peers(): readonly Peer[];
  /** Names of the live daemons of the zone, sorted, with this one. */
  abstract live(): readonly string[];
  /** The first daemons for a subject by rendezvous hashing over `live`. */
  abstract readers(subject: string, count: number): readonly string[];
  /** True when this daemon is among the readers. */
  abstract isReader(subject: string, count: number): boolean;
  /** Time since a heartbeat was accepted, on the monotonic clock. */
  abstract silence(): Milliseconds;
  /** Time since an aggregate of each other zone was accepted. */
  abstract zones(): ReadonlyMap<string, Milliseconds>;
  abstract traffic(): Traffic;
  /** Time from the last round to the next one. */
  abstract interval(): Milliseconds;
}
