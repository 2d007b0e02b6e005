import { createManualClock } from "@peridotvalve/clock";
import { createLoadTracker } from "@peridotvalve/load";
import type { LoadReport } from "@peridotvalve/types";
import { createSlownessDetector } from "@peridotvalve/routing";
import { readConfiguration } from "@peridotvalve/settings";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { createFleet } from "./fleet.ts";
import { createPauseDetector } from "./pause_detector.ts";

const UNREACHABLE: AttemptFailure = {
  sent: "not sent",
  reason: "unreachable",
  message: "connection refused",
};

function createReport(state: LoadReport["state"], at: number): LoadReport {
  return {
    ...{ incarnation: "abcdef", weights: "w1", state, at },
    ...{ running: 0, waiting: 0, queuedTokens: 0 },
    ...{ usedBlocks: 0, freeBlocks: 100 },
  };
}

function setUp({ port = 9_001 } = {}) {
  const clock = createManualClock(1_000_000);
  const tracker = createLoadTracker(clock);
  const events: (readonly [name: string, fields: unknown])[] = [];
  let resumedAt = () => -Infinity;
  const fleet = createFleet({
    clock,
    tracker,
    resumedAt: () => resumedAt(),
    slowness: createSlownessDetector({ clock }),
    log: (...[name, fields]) => events.push([name, fields]),
    availabilityZone: "espoo",
    regionOf: () => "uusimaa",
    onLeaving: () => {},
    createHeaders: () => ({}),
  });
  const replica = (port: number) => ({
    address: `127.0.0.1:${port}`,
    availabilityZone: "espoo",
  });
  const replicas = { a: replica(port), b: replica(9_002) };
  fleet.apply(
    readConfiguration(JSON.stringify({
      regions: { uusimaa: { availabilityZones: ["espoo"] } },
      groups: { "sizing-llm": { weights: "w1", replicas } },
    })).unwrap(),
  );
  const states = () =>
    fleet.candidates("sizing-llm").map(({ name, state }) => [name, state]);
  const setResumedAt = (next: () => number) => resumedAt = next;
  function recordResume(): void {
    const at = clock.monotonic();
    setResumedAt(() => at);
  }
  return {
    ...{ fleet, states, clock, tracker, events },
    ...{ setResumedAt, recordResume },
  };
}

// Without this, missing load reports would make a daemon refuse all requests.
test("dead replicas are candidates when no other is left", () => {
  const { fleet, states } = setUp();
  fleet.recordFailure(fleet.find("a")!, UNREACHABLE);
  expect(states()).toEqual([["a", "dead"], ["b", "ready"]]);
  fleet.recordFailure(fleet.find("b")!, UNREACHABLE);
  expect(states()).toEqual([["a", "ready"], ["b", "ready"]]);
});

test("a leaving replica is no candidate even when no other is left", () => {
  const { fleet, states } = setUp();
  fleet.recordFailure(fleet.find("a")!, UNREACHABLE);
  fleet.recordFailure(fleet.find("b")!, { ...UNREACHABLE, reason: "leaving" });
  expect(states()).toEqual([["a", "ready"], ["b", "leaving"]]);
});

/** Starts a server that answers load report requests and counts them. */
async function startEngine(
  context: TestContext,
  report: () => LoadReport | undefined,
) {
  let reads = 0;
  const server = createServer((_request, response) => {
    reads += 1;
    const answer = report();
    if (answer === undefined) response.destroy();
    else response.end(JSON.stringify(answer));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { port, readCount: () => reads };
}

// A replica may start to leave while the daemon is paused. Without confirmation
// it would receive work that waited in the daemon.
test("after a pause a replica is confirmed before it gets work", async (context) => {
  const engine = await startEngine(
    context,
    () => createReport("leaving", clock.now()),
  );
  const { fleet, tracker, clock, recordResume } = setUp({ port: engine.port });
  tracker.recordReport("a", createReport("ready", clock.now()));
  const replica = fleet.find("a")!;
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(engine.readCount()).toEqual(0);
  const startedAt = clock.monotonic();
  expect(fleet.wasRunningSince(startedAt)).toEqual(true);
  await clock.advance(5_000);
  recordResume();
  expect(fleet.wasRunningSince(startedAt)).toEqual(false);
  const confirmed = await Promise.all([
    fleet.confirm(replica),
    fleet.confirm(replica),
  ]);
  expect(confirmed).toEqual([false, false]);
  expect(engine.readCount()).toEqual(1);
  await fleet.close();
});

// A daemon that restarts has no report of a replica that began to leave before
// (soak, seed 12041).
test("after a start a replica is confirmed before it gets work", async (context) => {
  const engine = await startEngine(
    context,
    () => createReport("leaving", clock.now()),
  );
  const { fleet, clock, setResumedAt } = setUp({ port: engine.port });
  setResumedAt(createPauseDetector(clock).resumedAt);
  expect(await fleet.confirm(fleet.find("a")!)).toEqual(false);
  expect(engine.readCount()).toEqual(1);
  await fleet.close();
});

// A failure of the load reports must not stop all work after a pause.
test("a replica without a report is tried after a pause", async (context) => {
  const engine = await startEngine(context, () => undefined);
  const { fleet, clock, events, recordResume } = setUp({ port: engine.port });
  await clock.advance(5_000);
  recordResume();
  const replica = fleet.find("a")!;
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(engine.readCount()).toEqual(1);
  expect(events.map(([name]) => name)).toEqual(["load_report_missing"]);
  await fleet.close();
});

// The first load report must not log the leaving of a replica a second time,
// with the report as its source.
test("a first report does not repeat that a replica leaves", () => {
  const { fleet, states, clock, tracker, events } = setUp();
  fleet.applyVmList([{
    name: "a",
    address: "127.0.0.1:9001",
    zone: "espoo",
    state: "leaving",
    incarnation: "abcdef",
  }]);
  tracker.recordReport("a", createReport("ready", clock.now()));
  expect(states()).toEqual([["a", "leaving"], ["b", "ready"]]);
  expect(events).toEqual([["upstream_leaving", { source: "VM list" }]]);
});
