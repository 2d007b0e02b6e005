import { createSystemClock } from "@peridotvalve/clock";
import { createHybridClock } from "@peridotvalve/events";
import { createLoadTracker } from "@peridotvalve/load";
import type { ProcessSettings } from "@peridotvalve/settings";
import { expect } from "earl";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import { createPeerNetwork } from "./peer_network.ts";
import { createStamps } from "./stamps.ts";

const ZONES = ["espoo", "vantaa"];

async function findFreePort(): Promise<number> {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return port;
}

async function startZones(zones: readonly string[] = ZONES) {
  const clock = createSystemClock();
  const seeds = await Promise.all(zones.map(async (availabilityZone) => ({
    availabilityZone,
    address: `127.0.0.1:${await findFreePort()}`,
  })));
  return await Promise.all(seeds.map(async (own, index) => {
    const tracker = createLoadTracker(clock);
    const settings = {
      name: `${own.availabilityZone}-${index}`,
      availabilityZone: own.availabilityZone,
      listeners: { peers: own.address },
      peerSecret: "peer-secret-of-two-zones-00000000",
      seeds,
    } as unknown as ProcessSettings;
    const hybridClock = createHybridClock(clock);
    const heard: number[] = [];
    const peerNetwork = (await createPeerNetwork({
      settings,
      clock,
      hybridClock,
      stamps: createStamps(hybridClock, () => {}),
      log: () => {},
      tracker,
      onAnnounce: () => {},
      headReadAge: () => index === 0 ? 700 : Infinity,
      onHeadRead: (age) => heard.push(age),
      onUpstreamLeaving: () => {},
      listLeaving: () => [],
    })).unwrap();
    peerNetwork.start();
    return { tracker, peerNetwork, heard };
  }));
}

test("the link usage of an availability zone is known in the others", async () => {
  // Without it in the aggregates each zone would assume the full rate is free.
  const [first, second] = await startZones();
  try {
    let rate = 0;
    for (let tries = 0; tries < 100 && rate === 0; tries += 1) {
      first?.tracker.recordLinkBytes("kennel", 100_000);
      await new Promise((resolve) => setTimeout(resolve, 100));
      rate = second?.peerNetwork.linkRate((zone) => zone === "espoo") ?? 0;
    }
    expect(rate).toBeGreaterThan(0);
    expect(second?.peerNetwork.linkRate(() => false)).toEqual(0);
  } finally {
    await Promise.all([
      first?.peerNetwork.close(),
      second?.peerNetwork.close(),
    ]);
  }
});

// Guards against a configuration that nobody reads: heartbeats said nothing of
// the reads of the head.
test("a daemon tells its peers of its recent read of the head", async () => {
  const daemons = await startZones(["espoo", "espoo"]);
  const [reader, other] = daemons;
  try {
    for (let tries = 0; tries < 100 && other?.heard.length === 0; tries += 1) {
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    expect(other?.heard[0]).toEqual(700);
    expect(reader?.heard).toEqual([]);
  } finally {
    await Promise.all(daemons.map(({ peerNetwork }) => peerNetwork.close()));
  }
});
