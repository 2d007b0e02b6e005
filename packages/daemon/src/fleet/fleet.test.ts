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
  const board = createLoadTracker(clock);
  const events: (readonly [name: string, fields: unknown])[] = [];
  let resumedAt = -Infinity;
  const fleet = createFleet({
    clock,
    board,
    resumedAt: () => resumedAt,
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
  const noteResumed = () => resumedAt = clock.monotonic();
  return { fleet, states, clock, board, events, noteResumed };
}

// Guards against a daemon that refuses everything because reports are missing.
test("replicas that seem dead are tried when no other is left", () => {
  const { fleet, states } = setUp();
  fleet.noteFailure(fleet.find("a")!, UNREACHABLE);
  expect(states()).toEqual([["a", "dead"], ["b", "ready"]]);
  fleet.noteFailure(fleet.find("b")!, UNREACHABLE);
  expect(states()).toEqual([["a", "ready"], ["b", "ready"]]);
});

test("a leaving replica is not tried, also when no other is left", () => {
  const { fleet, states } = setUp();
  fleet.noteFailure(fleet.find("a")!, UNREACHABLE);
  fleet.noteFailure(fleet.find("b")!, { ...UNREACHABLE, reason: "leaving" });
  expect(states()).toEqual([["a", "ready"], ["b", "leaving"]]);
});

/** Answers load reports and counts the questions. */
async function startEngine(
  context: TestContext,
  report: () => LoadReport | undefined,
) {
  let asked = 0;
  const server = createServer((_request, response) => {
    asked += 1;
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
  return { port, asked: () => asked };
}

// Guards against work for a replica that left during a pause of the daemon.
test("after a pause a replica is asked before it gets work", async (context) => {
  const engine = await startEngine(
    context,
    () => createReport("leaving", clock.now()),
  );
  const { fleet, board, clock, noteResumed } = setUp({ port: engine.port });
  board.recordReport("a", createReport("ready", clock.now()));
  const replica = fleet.find("a")!;
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(engine.asked()).toEqual(0);
  const begun = clock.monotonic();
  expect(fleet.ranSince(begun)).toEqual(true);
  await clock.advance(5_000);
  noteResumed();
  expect(fleet.ranSince(begun)).toEqual(false);
  const confirmed = await Promise.all([
    fleet.confirm(replica),
    fleet.confirm(replica),
  ]);
  expect(confirmed).toEqual([false, false]);
  expect(engine.asked()).toEqual(1);
  await fleet.close();
});

// Guards against a fault of the load reports that ends all work.
test("a replica without a report is tried after a pause", async (context) => {
  const engine = await startEngine(context, () => undefined);
  const { fleet, clock, events, noteResumed } = setUp({ port: engine.port });
  await clock.advance(5_000);
  noteResumed();
  const replica = fleet.find("a")!;
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(await fleet.confirm(replica)).toEqual(true);
  expect(engine.asked()).toEqual(1);
  expect(events.map(([name]) => name)).toEqual(["load_report_missing"]);
  await fleet.close();
});

// Guards against a second line that names the report as the source.
test("a first report does not repeat that a replica leaves", () => {
  const { fleet, states, clock, board, events } = setUp();
  fleet.applyVmList([{
    name: "a",
    address: "127.0.0.1:9001",
    zone: "espoo",
    state: "leaving",
    incarnation: "abcdef",
  }]);
  board.recordReport("a", createReport("ready", clock.now()));
  expect(states()).toEqual([["a", "leaving"], ["b", "ready"]]);
  expect(events).toEqual([["upstream_leaving", { source: "VM list" }]]);
});
