/**
 * The parts of a caller's request that are forwarded.
 */
import type { DispatchRequest } from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";

export interface ForwardedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Id of the last event that the caller already has. */
  readonly lastEvent?: number;
  /** Id of the request that brought the first event of the stream. */
  readonly resumes?: string;
  /** Time until which the caller waits, on the monotonic clock. */
  readonly callerDeadline: Milliseconds;
  /** True when a neighbor has passed the request on to this daemon. */
  readonly isPassedOn: boolean;
}

/** True when the caller has events of the stream from an earlier request. */
export function isTakenUp(
  { route }: DispatchRequest,
  { resumes, lastEvent = 0 }: ForwardedRequest,
): boolean {
  return route.kind === "stream" && (resumes !== undefined || lastEvent > 0);
}
