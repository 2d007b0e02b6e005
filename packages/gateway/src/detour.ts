/**
 * Passes requests on to a neighbor while this daemon reaches no replica and the
 * neighbor does. The load balancer sends callers to all daemons of a zone while
 * fewer than half of them are ready, so that a daemon without replicas still
 * gets requests.
 *
 * The neighbor decides on the request as on one of its own callers, and its
 * response is forwarded as it is. It does not pass the request on again. Only
 * neighbors in a region that the request may use receive it.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type DispatchRequest,
  type Eligibility,
  isRetryable,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import { watchAttempt } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type { Attempt, ConnectionPools } from "./connection_pools.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { HeaderCodec } from "./header_codec.ts";
import type { PeerAddress } from "./registration.ts";

export interface DetourOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly pools: Pick<ConnectionPools, "open">;
  readonly headerCodec: Pick<HeaderCodec, "composePassedOn" | "readResponse">;
  readonly eligibility: Pick<Eligibility, "allowsZone">;
  /** The neighbors that reach replicas, the preferred first. */
  readonly neighbors: () => readonly Pick<PeerAddress, "zone" | "datagrams">[];
}

/** How the request ended at the neighbors. */
export type DetourOutcome =
  | {
    readonly kind: "done";
    readonly status: number;
    readonly firstEvent: Milliseconds;
  }
  /** No neighbor has received the request. */
  | { readonly kind: "unsent" }
  /** The request may have run. */
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "left" }
  | { readonly kind: "overdue" };

export type Detour = (
  request: DispatchRequest,
  forwarded: ForwardedRequest,
  caller: Caller,
) => Promise<DetourOutcome>;

/** Neighbors that are tried for one request. */
const MAX_NEIGHBORS = 2;

/** Reason of a response that is not the answer to the request. */
const MISMATCH = "answer to another request";

export function createDetour(options: DetourOptions): Detour {
  const { clock, logger, pools, headerCodec, eligibility } = options;

  /** Addresses of the neighbors to try. */
  function chooseNeighbors(request: DispatchRequest): readonly string[] {
    return options.neighbors()
      .filter(({ zone }) => eligibility.allowsZone(request, zone))
      .slice(0, MAX_NEIGHBORS)
      .map(({ datagrams }) => datagrams);
  }

  function open(
    neighbor: string,
    request: DispatchRequest,
    forwarded: ForwardedRequest,
  ): Attempt {
    const remaining = forwarded.callerDeadline - clock.monotonic();
    const { method, path, body, headers } = forwarded;
    return pools.open({
      ...{ origin: neighbor, method, path, body },
      connections: 1,
      // A kept connection might be closed by a neighbor that shuts down.
      isRepeat: true,
      headers: headerCodec.composePassedOn(headers, {
        remaining: Math.max(1, Math.floor(remaining)),
      }),
      findMismatch: (head) => {
        const { requestId } = headerCodec.readResponse(
          head.status,
          head.headers,
        );
        return requestId === request.id ? undefined : MISMATCH;
      },
    });
  }

  async function forward(
    attempt: Attempt,
    { arrivedAt }: DispatchRequest,
    caller: Caller,
  ): Promise<DetourOutcome> {
    const head = await attempt.head;
    if (head.isErr()) {
      const { kind, reason } = head.error;
      return kind === "unsent" ? { kind } : { kind, reason };
    }
    const { status, rawHeaders } = head.value;
    let firstEvent: Milliseconds = 0;
    const begin = () => {
      if (caller.hasStarted()) return;
      firstEvent = clock.monotonic() - arrivedAt;
      caller.writeHead(status, rawHeaders);
    };
    for (const body = attempt.body();;) {
      const next = await body.next();
      if (!next.done) {
        begin();
        await caller.write(next.value);
        continue;
      }
      if (next.value !== undefined) {
        return { kind: "lost", reason: next.value.reason };
      }
      begin();
      caller.finish();
      return { kind: "done", status, firstEvent };
    }
  }

  async function passOn(
    neighbor: string,
    ...[request, forwarded, caller]: Parameters<Detour>
  ): Promise<DetourOutcome> {
    const attempt = open(neighbor, request, forwarded);
    const watch = watchAttempt(attempt, {
      ...{ clock, caller, deadline: request.deadline },
      silence: () => 0,
      seekOther: () => false,
    });
    const outcome = await forward(attempt, request, caller);
    watch.stop();
    const cause = watch.cause()?.kind;
    const isOver = cause === "left" || cause === "overdue";
    return isOver ? { kind: cause } : outcome;
  }

  return async (request, forwarded, caller) => {
    let outcome: DetourOutcome = { kind: "unsent" };
    for (const neighbor of chooseNeighbors(request)) {
      outcome = await passOn(neighbor, request, forwarded, caller);
      logger.log("request_passed_on", {
        address: neighbor,
        outcome: outcome.kind,
        elapsed: clock.monotonic() - request.arrivedAt,
      }, { request: request.id });
      const mayRepeat = outcome.kind === "unsent" ||
        (outcome.kind === "lost" && isRetryable(request));
      if (!mayRepeat || caller.hasStarted()) break;
    }
    return outcome;
  };
}
