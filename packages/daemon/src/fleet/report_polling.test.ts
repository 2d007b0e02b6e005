import { createManualClock } from "@peridotvalve/clock";
import type { LoadTracker } from "@peridotvalve/load";
import { expect } from "earl";
import { test } from "node:test";
import { Err } from "ts-results-es";
import type { Fleet } from "./fleet.ts";
import { pollFleetReports } from "./report_polling.ts";

// If a replica of another availability zone were first polled in its regular
// period, a daemon could send work to a leaving one for up to 8 s.
test("a replica of another zone is polled as soon as it is configured", async () => {
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
    recordReachability() {},
  };
  const fleet = {
    list: () => isConfigured ? [replica] : [],
    find: () => replica,
  };
  const polling = pollFleetReports({
    clock,
    tracker: {} as LoadTracker,
    fleet: fleet as unknown as Fleet,
    availabilityZone: "north",
    isReader: () => true,
  }, stopped.signal);
  // The configuration arrives after the first two periods.
  await clock.advance(1_500);
  isConfigured = true;
  await clock.advance(14_000);
  stopped.abort();
  await clock.advance(1_000);
  await polling;
  // After the first poll, once in eight periods of one second.
  expect(read).toEqual([2_000, 7_000, 15_000]);
});
