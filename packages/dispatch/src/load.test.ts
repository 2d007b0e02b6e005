import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { createLoadView } from "./load.ts";

test("a flight counts until it ends, its reading until the first token", () => {
  const view = createLoadView(createManualClock());
  const flight = view.start("a", { unread: 500, memory: 700 });
  expect(view.of("a")).toEqual({
    requests: 1,
    unread: 500,
    memory: 700,
    recent: 500,
  });
  flight.noteFirstToken();
  flight.noteFirstToken();
  expect(view.of("a").unread).toEqual(0);
  flight.end();
  flight.end();
  expect(view.own("a").requests).toEqual(0);
});

test("recent reading decays by half", async () => {
  const clock = createManualClock();
  const view = createLoadView(clock);
  view.start("a", { unread: 1_000, memory: 0 }).end();
  await clock.advance(1_500);
  expect(view.of("a").recent).toEqual(500);
});

// Failure: the load of a peer that died would count for ever.
test("a peer's word counts for a bounded time", async () => {
  const clock = createManualClock();
  const view = createLoadView(clock);
  view.takeDigest("front-2", { a: [3, 900, 1_000, 50] });
  expect(view.of("a").requests).toEqual(3);
  await clock.advance(2_000);
  expect(view.of("a").requests).toEqual(0);
});
