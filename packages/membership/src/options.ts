/**
 * The options and the interface of a membership.
 */
import type { Clock } from "@peridotvalve/clock";
import type { HybridClock } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { ListedPeer, Seed } from "./candidates.ts";
import type { Aggregate, DatagramHeader, Rejection } from "./datagram.ts";
import type { Pace } from "./pacer.ts";
import type { Peer, PeerChange } from "./peer_table.ts";
import type { Transport } from "./transport.ts";

/** A peer that has a newer configuration than this daemon. */
export interface NewerVersion {
  readonly peer: string;
  readonly address: string;
  readonly version: number;
}

/** Called synchronously by the task that receives or checks silence. */
export interface MembershipCallbacks {
  readonly onChange?: (change: PeerChange) => void;
  /** A peer announced a version higher than this daemon's. */
  readonly onNewerVersion?: (newer: NewerVersion) => void;
  /** `waited` is the most that the digest can have lain unread here. */
  readonly onDigest?: (
    peer: string,
    digest: unknown,
    waited: Milliseconds,
  ) => void;
  /** A peer reported a leaving upstream incarnation. */
  readonly onUpstreamLeaving?: (incarnation: string, peer: string) => void;
  readonly onAggregate?: (aggregate: Aggregate, waited: Milliseconds) => void;
  readonly onDatagramRejected?: (reason: Rejection, from: string) => void;
  /** A peer's clock stamp is too far ahead and was not merged. */
  readonly onClockDrift?: (peer: string, ahead: Milliseconds) => void;
  /** This process was paused for `pause`. */
  readonly onPaused?: (pause: Milliseconds) => void;
  /** Peers knew a greater incarnation, and this daemon raised its own. */
  readonly onIncarnationRaised?: (incarnation: string) => void;
}

export interface MembershipOptions extends MembershipCallbacks {
  readonly name: string;
  readonly zone: string;
  /**
   * Signing key that all daemons share. Without one, the signature only detects
   * damage, and `accepts` has to restrict the senders.
   */
  readonly secret?: string;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly transport: Transport;
  readonly seeds: readonly Seed[];
  /** Limits of the heartbeats; the default fits zones of up to 45 daemons. */
  readonly pace?: Pace;
  /**
   * Whether daemons of a zone exchange heartbeats with this one. By default
   * those of the own zone do. May change while running.
   */
  readonly isNeighbor?: (zone: string) => boolean;
  /** Whether datagrams from an address are accepted; all are by default. */
  readonly accepts?: (address: string) => boolean;
  /**
   * Creates the load digest of the next heartbeat, at most `limit` bytes of
   * JSON. Called once per round; undefined omits the digest.
   */
  readonly createDigest?: (limit: Bytes) => unknown;
  /**
   * Creates the content of an aggregate, at most `limit` bytes of JSON; called
   * each time one is sent.
   */
  readonly createAggregate?: (limit: Bytes) => unknown;
}

/** Totals since the start. Bytes include UDP and IP headers. */
export interface Traffic {
  readonly sentBytes: Bytes;
  readonly receivedBytes: Bytes;
  readonly sentDatagrams: number;
  readonly receivedDatagrams: number;
  readonly rejectedDatagrams: number;
}

export abstract class Membership {
  /** Sends and receives until the signal is aborted. */
  abstract run(signal: AbortSignal): Promise<void>;

  /** Sets the configuration version if it is higher; announces it at once. */
  abstract setVersion(version: number): void;
  /** Sets the drain state and announces it at once. */
  abstract setDraining(draining: boolean): void;
  /** Replaces the platform's VM list of all zones, which can be out of date. */
  abstract setVmList(listed: readonly ListedPeer[]): void;
  /** Announces a leaving upstream incarnation to the peers at once. */
  abstract announceUpstreamLeaving(incarnation: string): void;
  /** Sends a heartbeat ahead of the next round if the pace allows it. */
  abstract announce(): void;
  /** Sends an aggregate to the other zones now. */
  abstract announceToZones(): void;

  abstract identity(): Pick<DatagramHeader, "name" | "incarnation">;
  /** All peers heard from, without this daemon. */
  abstract peers(): readonly Peer[];
  /** Sorted names of the zone's live daemons, with this one unless draining. */
  abstract live(): readonly string[];
  /** First `count` daemons for a subject by rendezvous hashing over `live`. */
  abstract readers(subject: string, count: number): readonly string[];
  /** True when this daemon is among the subject's readers. */
  abstract isReader(subject: string, count: number): boolean;
  /** Time since the last accepted heartbeat, on the monotonic clock. */
  abstract silence(): Milliseconds;
  /** Time since the last accepted aggregate, by other zone. */
  abstract zones(): ReadonlyMap<string, Milliseconds>;
  abstract traffic(): Traffic;
  /** Time from the last round to the next regular one. */
  abstract interval(): Milliseconds;
}
