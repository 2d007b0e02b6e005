import { test } from "node:test";
import { createSystemClock } from "@peridotvalve/clock";
import {
  createPlacementQueue,
  type ReplicaEntry,
} from "@peridotvalve/dispatch";
import { expect } from "earl";
import { createFleetPosition } from "./fleet_position.ts";
import { createWaitingLanes } from "./waiting_lanes.ts";

function composeEntry(id: string): ReplicaEntry {
  return {
    ...{ id, service: "llm", address: `${id}:80`, zone: "espoo", slots: 8 },
    ...{ state: "ready", weights: new Map() },
  };
}

// Guards against requests that wait for a cold replica and hold up others of the
// service, as a pass leaves a lane after eight that cannot be placed.
test("requests for a cold replica hold up no others", async () => {
  const clock = createSystemClock();
  const queue = createPlacementQueue(clock);
  const entries = ["cold", "warm"].map(composeEntry);
  const laneOf = createWaitingLanes({
    coldReplicas: {
      isAnyCold: () => true,
      find: ({ id }) =>
        id === "cold" ? { rate: 1, since: 0, until: Infinity } : undefined,
    },
    placement: {
      candidates: (_, excluded) =>
        entries.filter(({ id }) => !excluded.has(id)),
    },
  });
  const request = { service: "llm" } as Parameters<typeof laneOf>[0];
  let isOver = false;
  const wait = <Placed>(excluded: readonly string[], place: () => Placed) =>
    queue.wait({
      lane: laneOf(request, new Set(excluded)).name,
      ...{ rank: 0, place, deadline: clock.monotonic() + 5_000 },
      isAbandoned: () => isOver,
    });
  const held = Array.from(
    { length: 12 },
    () => wait(["warm"], () => undefined),
  );
  expect(laneOf(request, new Set(["warm"])).isCold).toEqual(true);
  expect(laneOf(request, new Set()).isCold).toEqual(false);
  expect(await wait([], () => "placed")).toEqual("placed");
  isOver = true;
  queue.retry();
  await Promise.all(held);
});

// Guards against daemons that take the same slots, or each the whole rate, as
// they count only those which they reach or have not read the list yet.
test("daemons agree on their positions from the list alone", () => {
  const listed = ["c", "a", "d", "b"].map((name, at) => ({
    ...{ name, host: "127.0.0.1", datagrams: "", calls: "" },
    zone: at % 2 === 0 ? "espoo" : "vaasa",
  }));
  let isListed = false;
  const positionOf = (name: string, zone: string) =>
    createFleetPosition({
      registration: { peers: () => listed },
      ...{ name, zone, isListed: () => isListed },
    });
  const positions = listed.map(({ name, zone }) => positionOf(name, zone));
  expect(positions.map((position) => position())).toEqual(
    positions.map(() => undefined),
  );
  isListed = true;
  const zoneMembers = new Map([["espoo", 2], ["vaasa", 2]]);
  expect(positions[2]!()).toEqual({
    ...{ zone: "espoo", members: 4, index: 3, zoneIndex: 1, zoneMembers },
  });
  const indexes = positions.map((position) => position()?.index);
  expect(indexes).toEqual([2, 0, 3, 1]);
  // A daemon whose row has not been read yet counts itself.
  expect(positionOf("e", "espoo")()?.members).toEqual(5);
});
