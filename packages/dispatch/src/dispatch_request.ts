/**
 * A request as the scheduling decisions see it, without its body.
 */
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { Customer, Route } from "./desired_state.ts";

/** A part of a prompt, shared between requests by its id. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

export interface PromptMetadata {
  readonly model: string;
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  /**
   * Parts of the prompt in order; the last one belongs to this request alone.
   */
  readonly parts: readonly PromptPart[];
}

export interface DispatchRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly customer?: Customer;
  /**
   * Name of the group whose cached parts the request may use unless its customer
   * is isolated, as of the desired state that the customer is of.
   */
  readonly cacheGroup?: string;
  /** Present for requests to a model. */
  readonly prompt?: PromptMetadata;
  /**
   * Software version at which the stream began; only its replicas can go on with
   * it. Absent before the first event.
   */
  readonly software?: string;
  /**
   * Hash of the caller and the content, which requests that a caller repeats
   * share.
   */
  readonly fingerprint?: string;
  /** Arrival time, on the monotonic clock. */
  readonly arrivedAt: Milliseconds;
  /** Deadline of the final response, on the monotonic clock. */
  readonly deadline: Milliseconds;
}

export function isRetryable({ route }: DispatchRequest): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.isResumable);
}

/** Priority of the request; 0 is the most urgent. */
export function priorityOf({ route, customer }: DispatchRequest): number {
  return customer?.priority ?? route.priority;
}

/**
 * Place of the request among those that wait; the lowest goes first. At the same
 * priority a stream that has begun goes before new requests: only the replicas of
 * one software version can go on with it, and its caller has a part of it already.
 */
export function waitingRankOf(request: DispatchRequest): number {
  return priorityOf(request) - (request.software === undefined ? 0 : 0.5);
}
