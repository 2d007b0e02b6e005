import { createManualClock } from "@peridotvalve/clock";
import { createLoadBoard } from "@peridotvalve/load";
import { createSlownessDetector } from "@peridotvalve/routing";
import { readConfiguration } from "@peridotvalve/settings";
import type { AttemptFailure } from "@peridotvalve/upstreams";
import { expect } from "earl";
import { test } from "node:test";
import { createFleet } from "./fleet.ts";

const UNREACHABLE: AttemptFailure = {
  sent: "not sent",
  reason: "unreachable",
  message: "connection refused",
};

function setUp() {
  const clock = createManualClock();
  const fleet = createFleet({
    clock,
    board: createLoadBoard(clock),
    slowness: createSlownessDetector({ clock }),
    log: () => {},
    availabilityZone: "espoo",
    regionOf: () => "uusimaa",
    onLeaving: () => {},
    createHeaders: () => ({}),
  });
  const replica = (port: number) => ({
    address: `127.0.0.1:${port}`,
    availabilityZone: "espoo",
  });
  const replicas = { a: replica(9_001), b: replica(9_002) };
  fleet.apply(
    readConfiguration(JSON.stringify({
      regions: { uusimaa: { availabilityZones: ["espoo"] } },
      groups: { "sizing-llm": { weights: "w1", replicas } },
    })).unwrap(),
  );
  const states = () =>
    fleet.candidates("sizing-llm").map(({ name, state }) => [name, state]);
  return { fleet, states };
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
