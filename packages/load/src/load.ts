/**
 * The interface of the load tracker, which estimates the current load of each
 * replica, and the types that it uses.
 */
import type {
  Bytes,
  LoadReport,
  Milliseconds,
  Tokens,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Digest } from "./wire.ts";

export interface Dispatch {
  /** Id of the attempt. */
  readonly id: string;
  /** Estimated number of tokens that the replica has to prefill. */
  readonly tokens: Tokens;
}

/** Requests and tokens sent to a replica that its report does not include. */
export interface UnreportedLoad {
  readonly count: number;
  readonly tokens: Tokens;
}

export interface LoadEstimate {
  /** Running and waiting requests, including unreported ones. */
  readonly requests: number;
  /** Tokens waiting for prefill, including unreported ones. */
  readonly queuedTokens: Tokens;
  /** Unreported dispatches of this daemon. */
  readonly own: UnreportedLoad;
  /** Unreported dispatches of the peers. */
  readonly peers: UnreportedLoad;
  /** Newest report; absent until one has arrived. */
  readonly report?: LoadReport;
  /** Age of the report. */
  readonly age?: Milliseconds;
}

export abstract class LoadTracker {
  /** Records a report that this daemon polled and queues it for the peers. */
  abstract recordReport(replica: string, report: LoadReport): void;
  /** Counts a dispatch until a report includes it or it ends. */
  abstract startDispatch(replica: string, dispatch: Dispatch): void;
  abstract endDispatch(replica: string, id: string): void;
  abstract recordLinkBytes(customer: string, bytes: Bytes): void;

  /**
   * Applies the digest of a peer's heartbeat. Returns an error that describes
   * the problem if the digest is malformed.
   */
  abstract applyDigest(peer: string, digest: unknown): Result<void, string>;

  /** Removes the entries of a peer that died, was forgotten or restarted. */
  abstract removePeer(peer: string): void;

  /** Removes the reports of other replicas, which are no longer configured. */
  abstract retainReplicas(replicas: Iterable<string>): void;

  /**
   * Builds the digest for the next heartbeat, of at most `limit` bytes of JSON,
   * and marks its content as sent. Returns undefined if there is nothing to
   * send.
   */
  abstract composeDigest(limit: Bytes): Digest | undefined;

  /**
   * The newest report, without the cost of `estimate`, which sums over peers.
   */
  abstract report(replica: string): LoadReport | undefined;

  abstract estimate(replica: string): LoadEstimate;

  /**
   * Bytes per second that a customer, or all customers together, send over the
   * region link, summed over this daemon and the digests of its peers.
   */
  abstract linkRate(customer?: string): Bytes;

  /** The link rate as a fraction of the byte budget; 1 is the whole budget. */
  abstract linkShare(budgetPerSecond: Bytes, customer?: string): number;
}
