import { createSystemClock } from "@peridotvalve/clock";
import { createHybridClock } from "@peridotvalve/events";
import { createLoadTracker } from "@peridotvalve/load";
import type { ProcessSettings } from "@peridotvalve/settings";
import { expect } from "earl";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import { createNeighbours } from "./neighbours.ts";
import { createStamps } from "./stamps.ts";

const ZONES = ["espoo", "vantaa"];

async function findFreePort(): Promise<number> {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return port;
}

async function startZones() {
  const clock = createSystemClock();
  const seeds = await Promise.all(ZONES.map(async (availabilityZone) => ({
    availabilityZone,
    address: `127.0.0.1:${await findFreePort()}`,
  })));
  return await Promise.all(seeds.map(async (own) => {
    const board = createLoadTracker(clock);
    const settings = {
      name: `${own.availabilityZone}-1`,
      availabilityZone: own.availabilityZone,
      listeners: { peers: own.address },
      peerSecret: "peer-secret-of-two-zones-00000000",
      seeds,
    } as unknown as ProcessSettings;
    const hybridClock = createHybridClock(clock);
    const neighbours = (await createNeighbours({
      settings,
      clock,
      hybridClock,
      stamps: createStamps(hybridClock, () => {}),
      log: () => {},
      board,
      onAnnounce: () => {},
      onUpstreamLeaving: () => {},
      listLeaving: () => [],
    })).unwrap();
    neighbours.start();
    return { board, neighbours };
  }));
}

test("the link use of an availability zone is known in the others", async () => {
  // Without it in the aggregates each zone takes the whole rate as left.
  const [first, second] = await startZones();
  try {
    let known = 0;
    for (let tries = 0; tries < 100 && known === 0; tries += 1) {
      first?.board.recordLinkBytes("kennel", 100_000);
      await new Promise((resolve) => setTimeout(resolve, 100));
      known = second?.neighbours.linkRate((zone) => zone === "espoo") ?? 0;
    }
    expect(known).toBeGreaterThan(0);
    expect(second?.neighbours.linkRate(() => false)).toEqual(0);
  } finally {
    await Promise.all([first?.neighbours.close(), second?.neighbours.close()]);
  }
});
