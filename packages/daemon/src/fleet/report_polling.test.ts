import { createManualClock } from "@peridotvalve/clock";
import type { LoadTracker } from "@peridotvalve/load";
import { expect } from "earl";
import { test } from "node:test";
import { Err } from "ts-results-es";
import type { Fleet } from "./fleet.ts";
import { pollFleetReports } from "./report_polling.ts";

// Guards against a daemon that sends work to a leaving replica of another
// availability zone, because it read no report of it for up to 8 s.
test("a replica of another zone is read as soon as it is configured", async () => {
  const clock = createManualClock();
  const stopped = new AbortController();
  const read: number[] = [];
  let isConfigured = false;
  const replica = {
    name: "south-1",
    settings: { availabilityZone: "south" },
    engine: {
      readLoad() {
        read.push(clock.monotonic());
        return Promise.resolve(Err("not asked here"));
      },
    },
    noteReachable() {},
  };
  const fleet = {
    list: () => isConfigured ? [replica] : [],
    find: () => replica,
  };
  const polling = pollFleetReports({
    clock,
    board: {} as LoadTracker,
    fleet: fleet as unknown as Fleet,
    availabilityZone: "north",
    isReader: () => true,
  }, stopped.signal);
  // The configuration comes after the first two periods.
  await clock.advance(1_500);
  isConfigured = true;
  await clock.advance(14_000);
  stopped.abort();
  await clock.advance(1_000);
  await polling;
  // Then once in eight periods of a second.
  expect(read).toEqual([2_000, 7_000, 15_000]);
});
