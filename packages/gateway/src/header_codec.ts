/**
 * Translation between the gateway's types and the headers of a protocol. An
 * adapter implements it.
 */
import type { Statement } from "@peridotvalve/backpressure";
import type { PartPlan, PromptMetadata } from "@peridotvalve/dispatch";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import type { IncomingHttpHeaders } from "node:http";

/** Contents of a caller's headers. */
export interface RequestMetadata {
  readonly id: string;
  /**
   * Time for which the caller waits for the response; absent when it states
   * none.
   */
  readonly patience?: Milliseconds;
  readonly key?: string;
  readonly model?: PromptMetadata;
  /** Id of the last event that the caller received of the stream it resumes. */
  readonly lastEvent?: number;
  /** Id of the request that brought the first event of that stream. */
  readonly resumes?: string;
}

/** Contents of the headers sent to a replica with one attempt. */
export interface AttemptMetadata {
  readonly replica: string;
  readonly remaining: Milliseconds;
  readonly customer?: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority?: number;
  readonly weights?: number;
  readonly salt?: string;
  /** Transfers for each part of the prompt, in order. */
  readonly parts?: readonly PartPlan[];
  /** Deadline of the fetches, on the replicas' clock. */
  readonly fetchDeadline?: Timestamp;
  readonly lastEvent?: number;
}

/** Contents of the headers of a replica's response. */
export interface ResponseMetadata {
  readonly requestId?: string;
  /** True when the replica states that it did not run the request. */
  readonly isRefusal: boolean;
  /**
   * True when the request was meant for another incarnation or weight version.
   */
  readonly isMisdirected: boolean;
  /** True when the response bears the replica's seal. */
  readonly isSealed?: boolean;
  /** Id of the responding replica, when the response names it. */
  readonly replica?: string;
  readonly weights?: number;
  /** What the replica says of itself; absent when it says nothing. */
  readonly statement?: Statement;
  /** How long work takes on the replica's machine; 1 is as usual. */
  readonly slowness?: number;
  /** Time for which the replica wants no requests from this daemon. */
  readonly retryAfter?: Milliseconds;
  /**
   * Names and values of statements that cannot be read and are left out, or that
   * are out of range and bounded.
   */
  readonly malformed?: readonly string[];
}

export abstract class HeaderCodec {
  abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Composes the headers for a replica as a flat list of names and values, from
   * the caller's flat list.
   */
  abstract composeRequest(
    headers: readonly string[],
    terms: AttemptMetadata,
  ): string[];
  /**
   * Composes the headers for a neighbor that takes the request over, from the
   * caller's flat list.
   */
  abstract composePassedOn(
    headers: readonly string[],
    terms: Pick<AttemptMetadata, "remaining">,
  ): string[];
  abstract readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseMetadata;
}
