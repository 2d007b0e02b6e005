import { createSystemClock } from "@peridotvalve/clock";
import {
  createEligibility,
  type DispatchRequest,
} from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { expect } from "earl";
import { test } from "node:test";
import { Err } from "ts-results-es";
import type { Caller } from "./caller.ts";
import type { Attempt } from "./connection_pools.ts";
import { createDetour } from "./detour.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

const REGIONS = new Map([["espoo", "uusimaa"], ["vaasa", "pohjanmaa"]]);

/** Addresses to which a request with the restriction is passed on. */
async function passOn(allowedRegions: readonly string[]) {
  const opened: string[] = [];
  const detour = createDetour({
    clock: createSystemClock(),
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    headerCodec: {
      composePassedOn: () => [],
      readResponse: () => ({ isRefusal: false, isMisdirected: false }),
    },
    pools: {
      open({ origin }) {
        opened.push(origin);
        const failure = Err({ kind: "unsent" as const, reason: "refused" });
        const head = Promise.resolve(failure);
        return { head, cancel() {} } as unknown as Attempt;
      },
    },
    eligibility: createEligibility({ regions: REGIONS }),
    neighbors: () => [
      { zone: "espoo", datagrams: "a" },
      { zone: "unlisted", datagrams: "b" },
      { zone: "vaasa", datagrams: "c" },
    ],
  });
  const request = {
    ...{ id: "r", route: { kind: "order", allowedRegions }, service: "shop" },
    ...{ arrivedAt: 0, deadline: Infinity },
  } as unknown as DispatchRequest;
  const forwarded = { callerDeadline: 1e9 } as unknown as ForwardedRequest;
  const caller = {
    onDisconnect() {},
    hasStarted: () => false,
    hasDisconnected: () => false,
  } as unknown as Caller;
  const { kind } = await detour(request, forwarded, caller);
  return { opened, kind };
}

// Guards against a body that a daemon without replicas passes on to a neighbor in
// a region that the request may not use: in a small fleet all daemons are
// neighbors.
test("only neighbors in the allowed regions get the request", async () => {
  const expected: readonly (readonly [string[], string[]])[] = [
    [[], ["a", "b"]],
    [["uusimaa"], ["a"]],
    [["pohjanmaa"], ["c"]],
    [["atlantis"], []],
  ];
  for (const [regions, opened] of expected) {
    expect(await passOn(regions)).toEqual({ opened, kind: "unsent" });
  }
});
