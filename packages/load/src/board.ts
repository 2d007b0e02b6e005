/**
 * What a load board takes and answers.
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
  /** Attempt id. */
  readonly id: string;
  /** Estimate of the tokens to compute. */
  readonly tokens: Tokens;
}

/** Requests and tokens sent to a replica and not visible in its report. */
export interface UnreportedLoad {
  readonly count: number;
  readonly tokens: Tokens;
}

export interface LoadEstimate {
  /** Requests that run or wait, with those that the report does not show. */
  readonly requests: number;
  readonly queuedTokens: Tokens;
  readonly own: UnreportedLoad;
  readonly peers: UnreportedLoad;
  readonly report?: LoadReport;
  /** Age of the report. */
  readonly age?: Milliseconds;
}

export abstract class LoadBoard {
  abstract takeReport(replica: string, report: LoadReport): void;
  abstract startDispatch(replica: string, dispatch: Dispatch): void;
  abstract endDispatch(replica: string, id: string): void;
  abstract recordLinkBytes(customer: string, bytes: Bytes): void;

  /** Takes over the digest of a peer's heartbeat; the error says what is bad. */
  abstract takeDigest(peer: string, digest: unknown): Result<void, string>;

  /** Drops the share of a peer that died or restarted. */
  abstract dropPeer(peer: string): void;

  /** Forgets the replicas that are no longer configured. */
  abstract retainReplicas(replicas: Iterable<string>): void;

  /**
   * The digest for the next heartbeat, at most so many bytes of JSON. What it
   * says counts as sent.
   */
  abstract composeDigest(limit: Bytes): Digest | undefined;

  /** The newest report; costs nothing beside `estimate`, which asks peers. */
  abstract report(replica: string): LoadReport | undefined;

  abstract estimate(replica: string): LoadEstimate;

  /**
   * Bytes per second that a customer, or all customers, use on the region
   * link, summed over the daemons' digests.
   */
  abstract linkRate(customer?: string): Bytes;

  /** The same as a share of the byte budget; 1 is all of it. */
  abstract linkShare(budgetPerSecond: Bytes, customer?: string): number;
}
