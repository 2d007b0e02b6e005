import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { createLoadView, type LoadView } from "./load_view.ts";

const LIMIT = 400;

/** Sends the next digest of each view to all others. */
function exchange(views: ReadonlyMap<string, LoadView>): void {
  for (const [name, view] of views) {
    const digest = view.composeDigest(LIMIT);
    if (digest === undefined) continue;
    for (const [other, receiver] of views) {
      if (other !== name) receiver.applyDigest(name, digest).unwrap();
    }
  }
}

test("a request counts until it ends, its prefill until the first token", () => {
  const view = createLoadView(createManualClock());
  const tracked = view.trackRequest("a", { unread: 500, memory: 700 });
  expect(view.totalLoad("a")).toEqual({
    requests: 1,
    unread: 500,
    memory: 700,
    recentTokens: 500,
  });
  tracked.recordFirstToken();
  tracked.recordFirstToken();
  expect(view.totalLoad("a").unread).toEqual(0);
  tracked.end();
  tracked.end();
  expect(view.localLoad("a").requests).toEqual(0);
});

test("recent prompt tokens decay with their half-life", async () => {
  const clock = createManualClock();
  const view = createLoadView(clock);
  view.trackRequest("a", { unread: 1_000, memory: 0 }).end();
  await clock.advance(1_500);
  expect(view.totalLoad("a").recentTokens).toEqual(500);
});

test("each daemon sees the sum of all requests in flight", () => {
  const clock = createManualClock();
  const names = Array.from({ length: 33 }, (_, index) => `front-${index}`);
  const views = new Map(names.map((name) => [name, createLoadView(clock)]));
  const tracked = [...views.values()].map((view) =>
    view.trackRequest("a", { unread: 100, memory: 200 })
  );
  exchange(views);
  for (const view of views.values()) {
    expect(view.totalLoad("a").requests).toEqual(33);
    expect(view.totalLoad("a").memory).toEqual(33 * 200);
  }
  for (const request of tracked) request.end();
  exchange(views);
  for (const view of views.values()) {
    expect(view.totalLoad("a").requests).toEqual(0);
  }
});

// Guards against counting the load of a dead peer for ever.
test("the load of a removed peer no longer counts", () => {
  const clock = createManualClock();
  const [here, there] = [createLoadView(clock), createLoadView(clock)];
  there.trackRequest("a", { unread: 900, memory: 1_000 });
  here.applyDigest("front-2", there.composeDigest(LIMIT)!).unwrap();
  expect(here.totalLoad("a").requests).toEqual(1);
  here.removePeer("front-2");
  expect(here.totalLoad("a").requests).toEqual(0);
});

test("a lost digest is made up for within a second", async () => {
  const clock = createManualClock();
  const [here, there] = [createLoadView(clock), createLoadView(clock)];
  const tracked = there.trackRequest("a", { unread: 900, memory: 1_000 });
  here.applyDigest("front-2", there.composeDigest(LIMIT)!).unwrap();
  tracked.end();
  there.composeDigest(LIMIT);
  await clock.advance(1_000);
  here.applyDigest("front-2", there.composeDigest(LIMIT)!).unwrap();
  expect(here.totalLoad("a").requests).toEqual(0);
});

test("a summary has the totals of the named replicas only", () => {
  const clock = createManualClock();
  const [here, there] = [createLoadView(clock), createLoadView(clock)];
  here.trackRequest("a", { unread: 900, memory: 1_000 });
  here.trackRequest("b", { unread: 10, memory: 20 });
  there.applyDigest("zone vaasa", here.summarize(["a"], LIMIT)!).unwrap();
  expect(there.totalLoad("a").unread).toEqual(900);
  expect(there.totalLoad("b").requests).toEqual(0);
  there.applyDigest("zone vaasa", here.summarize([], LIMIT)!).unwrap();
  expect(there.totalLoad("a").requests).toEqual(0);
});

test("a malformed digest changes nothing", () => {
  const view = createLoadView(createManualClock());
  const applied = view.applyDigest("front-2", { c: "no entry;" });
  expect(applied.isErr()).toEqual(true);
  expect(view.totalLoad("a").requests).toEqual(0);
});

// Guards against rates of others that are missed or that stay after they are
// gone: a limit is divided by them.
test("peers share their rates for the replicas that need it", async () => {
  const clock = createManualClock();
  const sharesRate = (replica: string) => replica === "limited";
  const [here, there] = [
    createLoadView(clock, { sharesRate }),
    createLoadView(clock, { sharesRate }),
  ];
  const views = new Map([["here", here], ["there", there]]);
  for (const replica of ["limited", "other"]) {
    for (let count = 0; count < 3; count += 1) {
      there.trackRequest(replica, { unread: 1, memory: 1 }).end();
    }
  }
  exchange(views);
  const { own, peers } = here.rates("limited");
  expect(own).toEqual(0);
  expect(peers).toEqual(there.rates("limited").own);
  expect(here.rates("other").peers).toEqual(0);
  await clock.advance(1_500);
  exchange(views);
  expect(here.rates("limited").peers).toEqual(peers / 2);
  here.removePeer("there");
  expect(here.rates("limited").peers).toEqual(0);
});

// Guards against a replica that looks full because the part that its running
// requests share counts once for each.
test("a shared part takes memory once", () => {
  const view = createLoadView(createManualClock());
  const sharedParts = [{ key: "m@1 session", tokens: 9_000 }];
  const size = { unread: 0, memory: 10_000, sharedParts };
  const memory = () => view.totalLoad("a").memory;
  const first = view.trackRequest("a", size);
  const second = view.trackRequest("a", size);
  expect(memory()).toEqual(11_000);
  expect(view.heldByRequests("a", sharedParts)).toEqual(9_000);
  expect(view.heldByRequests("b", sharedParts)).toEqual(0);
  first.end();
  expect(memory()).toEqual(10_000);
  second.end();
  expect(memory()).toEqual(0);
  expect(view.heldByRequests("a", sharedParts)).toEqual(0);
});
