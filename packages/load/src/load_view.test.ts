import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { createLoadView } from "./load.ts";

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

// Guards against counting the load of a dead peer for ever.
test("the digest of a peer expires", async () => {
  const clock = createManualClock();
  const view = createLoadView(clock);
  view.applyDigest("front-2", { a: [3, 900, 1_000, 50] });
  expect(view.totalLoad("a").requests).toEqual(3);
  await clock.advance(2_000);
  expect(view.totalLoad("a").requests).toEqual(0);
});
