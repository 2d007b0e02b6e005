import { createSystemClock } from "@peridotvalve/clock";
import {
  createEligibility,
  type DispatchRequest,
} from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Err } from "ts-results-es";
import type { Caller } from "./caller.ts";
import { type Attempt, createConnectionPools } from "./connection_pools.ts";
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
    ...{ arrivedAt: 0, deadline: 1e9 },
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

const UPLOAD = Buffer.alloc(8 * 1_024 * 1_024);

const FRAMINGS: Readonly<Record<string, string>> = {
  "with a length": "Content-Length: 4000\r\n\r\npart",
  "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
  unframed: "\r\npart",
};

/** Starts a neighbor that answers at the head of a request, then closes. */
async function startNeighbor(
  t: TestContext,
  answer: string,
  close: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    t.after(() => socket.destroy());
    socket.once("data", () => {
      socket.pause();
      socket.write(`HTTP/1.1 ${answer}`, () => close(socket));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Passes an upload on; returns the outcome and whether the answer was ended. */
async function passUploadOn(t: TestContext, neighbor: string) {
  const pools = createConnectionPools();
  t.after(() => pools.close("end"));
  const detour = createDetour({
    ...{ clock: createSystemClock(), pools },
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    headerCodec: {
      composePassedOn: () => ["host", "shop.example"],
      readResponse: () => ({
        ...{ isRefusal: false, isMisdirected: false, requestId: "r" },
      }),
    },
    eligibility: createEligibility({ regions: REGIONS }),
    neighbors: () => [{ zone: "espoo", datagrams: neighbor }],
  });
  const now = createSystemClock().monotonic();
  const request = {
    ...{ id: "r", route: { kind: "order" }, service: "shop" },
    ...{ arrivedAt: now, deadline: now + 5_000 },
  } as unknown as DispatchRequest;
  const forwarded = {
    ...{ callerDeadline: now + 5_000, method: "POST", path: "/orders/1" },
    ...{ headers: [], body: UPLOAD },
  } as unknown as ForwardedRequest;
  let statuses: number[] = [];
  let isFinished = false;
  const caller = {
    onDisconnect() {},
    hasStarted: () => statuses.length > 0,
    hasDisconnected: () => false,
    writeHead: (status: number) => statuses = [...statuses, status],
    write: () => Promise.resolve(),
    finish: () => isFinished = true,
  } as unknown as Caller;
  const { kind } = await detour(request, forwarded, caller);
  return { kind, isFinished, statuses };
}

for (const [framing, rest] of Object.entries(FRAMINGS)) {
  for (const end of ["reset", "ended"] as const) {
    // Guards against a part of an answer that a daemon passes on as complete,
    // when its neighbor breaks off while the request is still being written.
    test(`a part ${framing} of a neighbor that ${end} is lost`, async (t) => {
      const neighbor = await startNeighbor(
        t,
        `200 OK\r\n${rest}`,
        (socket) => {
          if (end === "reset") socket.resetAndDestroy();
          else socket.end();
        },
      );
      const { kind, isFinished } = await passUploadOn(t, neighbor);
      // Only the end of its connection completes an answer without a length.
      const isWhole = framing === "unframed" && end === "ended";
      expect([kind, isFinished]).toEqual(
        isWhole ? ["done", true] : ["lost", false],
      );
    });
  }
}

// Guards against a malformed answer that reaches a caller by way of a neighbor.
test("a malformed answer of a neighbor is lost", async (t) => {
  for (const status of ["000", "102", "600"]) {
    const neighbor = await startNeighbor(t, `${status} No\r\n\r\n`, () => {});
    const { kind, statuses } = await passUploadOn(t, neighbor);
    expect([status, kind, statuses]).toEqual([status, "lost", []]);
  }
});
