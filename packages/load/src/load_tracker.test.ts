import { createManualClock } from "@peridotvalve/clock";
import type { LoadReport } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok } from "ts-results-es";
import type { LoadTracker } from "./load.ts";
import { measureJson } from "./delta_table.ts";
import { createLoadTracker } from "./load_tracker.ts";
import { pollReports } from "./poller.ts";

function createReport(overrides: Partial<LoadReport> = {}): LoadReport {
  return {
    ...{ incarnation: "abcdef", weights: "w1", state: "ready", at: 0 },
    ...{ running: 0, waiting: 0, queuedTokens: 0 },
    ...{ usedBlocks: 0, freeBlocks: 100 },
    ...overrides,
  };
}

/** Sends a digest through JSON, as a heartbeat does. */
function sendDigest(from: LoadTracker, to: LoadTracker, limit = 400): void {
  const digest = from.composeDigest(limit);
  if (digest === undefined) return;
  expect(measureJson(digest) <= limit).toEqual(true);
  to.applyDigest("peer", JSON.parse(JSON.stringify(digest))).unwrap();
}

test("own dispatches count until a report includes them", async () => {
  const clock = createManualClock(1_000_000);
  const tracker = createLoadTracker(clock);
  tracker.recordReport(
    "r1",
    createReport({ running: 3, at: clock.now() - 200 }),
  );
  await clock.advance(100);
  tracker.startDispatch("r1", { id: "a", tokens: 500 });
  tracker.startDispatch("r1", { id: "b", tokens: 300 });
  expect(tracker.estimate("r1").requests).toEqual(5);
  expect(tracker.estimate("r1").queuedTokens).toEqual(800);
  tracker.endDispatch("r1", "b");
  expect(tracker.estimate("r1").requests).toEqual(4);
  await clock.advance(1_000);
  // This report arrives after the dispatches but was created before them.
  const old = createReport({ running: 3, at: clock.now() - 1_050 });
  tracker.recordReport("r1", old);
  expect(tracker.estimate("r1").requests).toEqual(4);
  tracker.recordReport(
    "r1",
    createReport({ running: 4, at: clock.now() - 200 }),
  );
  expect(tracker.estimate("r1").requests).toEqual(4);
});

test("a replica's wall clock that is off by minutes has no effect", async () => {
  for (const skew of [-300_000, 300_000]) {
    const clock = createManualClock(1_000_000);
    const tracker = createLoadTracker(clock);
    tracker.startDispatch("r1", { id: "a", tokens: 100 });
    await clock.advance(2_000);
    const at = clock.now() + skew - 200;
    tracker.recordReport("r1", createReport({ running: 1, at }));
    expect(tracker.estimate("r1").requests).toEqual(1);
    tracker.startDispatch("r1", { id: "b", tokens: 100 });
    expect(tracker.estimate("r1").requests).toEqual(2);
    await clock.advance(2_000);
    const next = createReport({ running: 2, at: at + 2_000 });
    tracker.recordReport("r1", next);
    expect(tracker.estimate("r1").requests).toEqual(2);
  }
});

test("a peer's dispatches count until its death or a newer report", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  peer.startDispatch("r1", { id: "a", tokens: 500 });
  sendDigest(peer, tracker);
  expect(tracker.estimate("r1").peers).toEqual({ count: 1, tokens: 500 });
  tracker.removePeer("peer");
  expect(tracker.estimate("r1").peers.count).toEqual(0);
  peer.startDispatch("r1", { id: "b", tokens: 500 });
  sendDigest(peer, tracker);
  expect(tracker.estimate("r1").peers.count).toEqual(2);
  await clock.advance(1_000);
  tracker.recordReport(
    "r1",
    createReport({ running: 2, at: clock.now() - 100 }),
  );
  expect(tracker.estimate("r1").requests).toEqual(2);
  // An equal count of newer dispatches must be sent again.
  peer.endDispatch("r1", "a");
  await clock.advance(1_000);
  peer.startDispatch("r1", { id: "c", tokens: 500 });
  sendDigest(peer, tracker);
  expect(tracker.estimate("r1").peers.count).toEqual(2);
});

test("a report reaches the peers, and an older one never replaces it", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  for (let running = 1; running < 9; running += 1) {
    peer.recordReport("r1", createReport({ running, at: clock.now() - 100 }));
    sendDigest(peer, tracker);
    expect(tracker.estimate("r1").report?.running).toEqual(running);
    expect(tracker.estimate("r1").age).toEqual(100);
    await clock.advance(1_000);
  }
  peer.recordReport("r1", createReport({ running: 9, at: clock.now() - 900 }));
  tracker.recordReport(
    "r1",
    createReport({ running: 10, at: clock.now() - 100 }),
  );
  sendDigest(peer, tracker);
  expect(tracker.estimate("r1").report?.running).toEqual(10);
});

test("reports of an old incarnation never replace those of the new one", async () => {
  const clock = createManualClock(1_000_000);
  const tracker = createLoadTracker(clock);
  tracker.recordReport("r1", createReport({ running: 9, at: clock.now() }));
  await clock.advance(1_000);
  const restarted = createReport({ incarnation: "second", at: clock.now() });
  tracker.recordReport("r1", restarted);
  expect(tracker.estimate("r1").requests).toEqual(0);
  await clock.advance(1_000);
  tracker.recordReport("r1", createReport({ running: 9, at: clock.now() }));
  expect(tracker.estimate("r1").report?.incarnation).toEqual("second");
});

test("a short report is ignored if the held report has another incarnation", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  tracker.recordReport("r1", createReport({ incarnation: "other" }));
  peer.recordReport("r1", createReport());
  peer.composeDigest(400);
  await clock.advance(1_000);
  peer.recordReport("r1", createReport({ running: 5 }));
  sendDigest(peer, tracker);
  expect(tracker.estimate("r1").report?.incarnation).toEqual("other");
  expect(tracker.estimate("r1").report?.running).toEqual(0);
});

test("91 replicas of long names converge in digests of 110 bytes", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  for (let index = 0; index < 91; index += 1) {
    peer.startDispatch(`sizing-llm-${index}`, { id: "a", tokens: 9_000 });
  }
  for (let round = 0; round < 20; round += 1) {
    sendDigest(peer, tracker, 110);
    await clock.advance(3_000);
  }
  for (let index = 0; index < 91; index += 1) {
    expect(tracker.estimate(`sizing-llm-${index}`).requests).toEqual(1);
  }
});

test("digests of 118 bytes relay four reports within eight rounds", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  const replicas = [0, 1, 2, 3].map((index) => `sizing-llm-${index}`);
  const ages: number[] = [];
  for (let round = 0; round < 40; round += 1) {
    for (const replica of replicas) {
      const at = clock.now() - 300;
      const report = { queuedTokens: 12_000, usedBlocks: 800, at };
      peer.recordReport(replica, createReport(report));
      // Dispatches compete with the reports for space.
      peer.startDispatch(replica, { id: `${round}`, tokens: 3_000 });
    }
    sendDigest(peer, tracker, 118);
    await clock.advance(3_000);
    if (round < 10) continue;
    ages.push(
      ...replicas.map((replica) => tracker.estimate(replica).age ?? 1e9),
    );
  }
  // The report of every replica is relayed at least once in eight rounds.
  expect(Math.max(...ages) <= 8 * 3_000).toEqual(true);
});

test("link usage is summed over the daemons by customer and expires", async () => {
  const clock = createManualClock(1_000_000);
  const [tracker, peer] = [createLoadTracker(clock), createLoadTracker(clock)];
  tracker.recordLinkBytes("kennel", 10_000);
  peer.recordLinkBytes("kennel", 30_000);
  peer.recordLinkBytes("shop", 10_000);
  sendDigest(peer, tracker);
  expect(tracker.linkShare(8_000, "kennel")).toEqual(0.5);
  expect(tracker.linkShare(8_000, "shop")).toEqual(0.125);
  expect(tracker.linkShare(8_000)).toEqual(0.625);
  await clock.advance(11_000);
  sendDigest(peer, tracker);
  expect(tracker.linkRate()).toEqual(0);
});

test("a malformed digest changes nothing", () => {
  const tracker = createLoadTracker(createManualClock());
  const bad = [null, 7, { c: 1 }, { c: "abcde-1;" }, { r: { x: [1] } }];
  for (const digest of [...bad, { s: ["a"] }, { c: "abc;" }]) {
    expect(tracker.applyDigest("peer", digest).isErr()).toEqual(true);
  }
  expect(tracker.estimate("x").requests).toEqual(0);
});

test("a replica that does not answer does not delay the others", async () => {
  const clock = createManualClock(1_000_000);
  const tracker = createLoadTracker(clock);
  const polled: string[] = [];
  const controller = new AbortController();
  const done = pollReports({
    ...{
      clock,
      tracker,
      listReplicas: () => ["hung", "bad", "r1", "not mine"],
    },
    isReader: (subject) => subject !== "load/not mine",
    poll: (replica) => {
      polled.push(replica);
      if (replica === "hung") return new Promise(() => {});
      const report = createReport({ running: 4, at: clock.now() });
      return Promise.resolve(replica === "bad" ? Err("refused") : Ok(report));
    },
  }, controller.signal);
  await clock.advance(2_500);
  controller.abort();
  await done;
  expect(polled.filter((replica) => replica === "hung").length).toEqual(1);
  expect(polled.filter((replica) => replica === "r1").length).toEqual(3);
  expect(polled.includes("not mine")).toEqual(false);
  expect(tracker.estimate("r1").requests).toEqual(4);
});

// Sums over peers are cached; a new digest or a removed peer must invalidate
// them.
test("a new digest or a removed peer changes an estimate made before", () => {
  const clock = createManualClock(1_000_000);
  const tracker = createLoadTracker(clock);
  const other = createLoadTracker(clock);
  tracker.recordReport("r1", createReport({ at: clock.now() - 10 }));
  expect(tracker.estimate("r1").requests).toEqual(0);
  other.startDispatch("r1", { id: "a", tokens: 500 });
  sendDigest(other, tracker);
  expect(tracker.estimate("r1").requests).toEqual(1);
  expect(tracker.estimate("r1").queuedTokens).toEqual(500);
  tracker.removePeer("peer");
  expect(tracker.estimate("r1").requests).toEqual(0);
});
