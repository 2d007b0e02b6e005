import { createManualClock } from "@peridotvalve/clock";
import { createMemoryPlatform, type Json } from "@peridotvalve/tables";
import type { Configuration } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results-es";
import { applyConfiguration } from "./apply.ts";
import type { RawConfiguration } from "./history.ts";
import { HEAD_KEY } from "./rows.ts";
import { createConfigurationWatch } from "./watch.ts";

function check(content: Json): Result<Configuration, string> {
  if (content === "bad") return Err("content is bad");
  return Ok({ content } as unknown as Configuration);
}

function setUp(peers: Readonly<Record<string, RawConfiguration>> = {}) {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const adopted: number[] = [];
  const rejected: number[] = [];
  let reader = false;
  const watch = createConfigurationWatch({
    platform,
    clock,
    isReader: () => reader,
    peers: () => Object.keys(peers),
    fetchFromPeer: (peer) => {
      if (peer === "silent") return new Promise(() => {});
      const held = peers[peer];
      return Promise.resolve(held ? Ok(held) : Err("no such peer"));
    },
    bootstrap: () => Promise.resolve(Ok("bootstrap")),
    check,
    report: (event) => {
      if (event.kind === "rejected") rejected.push(event.version);
    },
  });
  watch.subscribe(({ version }) => adopted.push(version));
  const apply = (change: string, content: Json) =>
    applyConfiguration({ change, content, author: "a" }, { platform, clock });
  const start = async () => {
    const started = watch.start();
    await clock.advance(4_000);
    await started;
  };
  const becomeReader = () => {
    reader = true;
  };
  const version = () => watch.current()?.version;
  return {
    clock,
    platform,
    watch,
    adopted,
    rejected,
    apply,
    start,
    becomeReader,
    version,
  };
}

const raw = (version: number, content: Json = "x"): RawConfiguration => ({
  version,
  change: `c${version}`,
  content,
});

// Guards against a change that is never adopted: the heartbeats of peers say that
// somebody reads the head, also where no reader reaches the platform.
test("a daemon polls unless a peer has told of a recent read", async () => {
  const { clock, watch, apply, start, version } = setUp();
  await apply("a", 1);
  await start();
  await apply("b", 2);
  for (let second = 0; second < 6; second += 1) {
    watch.announce(1, "p");
    watch.recordPeerRead(5_000);
    await clock.advance(1_000);
  }
  expect(version()).toEqual(2);
  expect(watch.readAge() <= 1_000).toEqual(true);
  watch.stop();
});

test("a reader polls; others poll only without news of reads", async () => {
  const { clock, watch, apply, start, becomeReader, version } = setUp();
  await apply("a", 1);
  await start();
  watch.recordPeerRead(0);
  await apply("b", 2);
  for (let second = 0; second < 6; second += 1) {
    await clock.advance(1_000);
    watch.recordPeerRead(0);
  }
  expect(version()).toEqual(1);
  await clock.advance(4_000);
  expect(version()).toEqual(2);
  await apply("c", 3);
  becomeReader();
  watch.recordPeerRead(0);
  await clock.advance(1_000);
  expect(version()).toEqual(3);
  watch.stop();
});

test("a higher announced version comes from the platform or peer", async () => {
  const peers = { p: raw(5) };
  const { clock, platform, watch, apply, start, adopted } = setUp(peers);
  await apply("a", 1);
  await start();
  platform.setFaults({ outage: true });
  watch.announce(5, "p");
  await clock.advance(100);
  expect(adopted).toEqual([1, 5]);
  // After the outage, the platform's older head must not be adopted.
  platform.setFaults({ outage: false });
  await apply("b", 2);
  await clock.advance(10_000);
  expect(adopted).toEqual([1, 5]);
  expect(Object.isFrozen(watch.current()?.content)).toEqual(true);
  watch.stop();
});

test("content that fails the check leaves the older version in use", async () => {
  const { clock, apply, start, becomeReader, watch, ...rest } = setUp();
  await apply("a", 1);
  await start();
  becomeReader();
  await apply("b", "bad");
  await clock.advance(5_000);
  expect([rest.version(), rest.rejected]).toEqual([1, [2]]);
  await apply("c", 3);
  await clock.advance(1_000);
  expect(rest.version()).toEqual(3);
  watch.stop();
});

test("a start whose head fails the check adopts the previous version", async () => {
  const { apply, start, version, watch } = setUp();
  await apply("a", 1);
  await apply("b", 2);
  await apply("c", "bad");
  await start();
  expect(version()).toEqual(2);
  watch.stop();
});

test("a start in an outage adopts the highest version of the peers", async () => {
  const peers = { p: raw(4), silent: raw(9), q: raw(7), r: raw(0) };
  const { platform, start, version, watch } = setUp(peers);
  platform.setFaults({ outage: true });
  await start();
  expect(version()).toEqual(7);
  watch.stop();
});

test("a start in an outage waits for a peer", async () => {
  const peers: Record<string, RawConfiguration> = {};
  const { clock, platform, watch, version, adopted } = setUp(peers);
  platform.setFaults({ outage: true });
  const started = watch.start();
  await clock.advance(2_000);
  expect(version()).toEqual(undefined);
  peers["late"] = raw(3);
  await clock.advance(2_000);
  await started;
  expect(adopted).toEqual([3]);
  watch.stop();
});

test("the bootstrap folder is used while the platform has no head", async () => {
  const { clock, apply, start, watch, adopted } = setUp();
  await start();
  expect(adopted).toEqual([0]);
  await apply("a", 1);
  await clock.advance(5_000);
  expect(adopted).toEqual([0, 1]);
  watch.stop();
});

// The bootstrap folder must not replace a version that was accepted later.
test("a start in an outage without peers has no version until it ends", async () => {
  const { clock, platform, apply, start, watch, adopted } = setUp();
  await apply("a", 1);
  platform.setFaults({ outage: true });
  await start();
  await clock.advance(10_000);
  expect(adopted).toEqual([]);
  platform.setFaults({ outage: false });
  await clock.advance(2_000);
  expect(adopted).toEqual([1]);
  watch.stop();
});

// Guards against a change that is reverted: a head that this release cannot read
// counts as none, so that a daemon starts with the older operators' folder.
test("an unreadable head does not let the bootstrap folder apply", async () => {
  const { clock, platform, apply, watch, start, version } = setUp();
  await apply("a", 1);
  const writes = [{ ...HEAD_KEY, value: { release: 9 } }];
  await platform.transact({ id: "later", checks: [], writes }, 1_000);
  await start();
  expect(version()).toEqual(undefined);
  const settlement = apply("b", 2);
  await clock.advance(30_000);
  expect(await settlement).toEqual({
    kind: "not done",
    reason: { kind: "unavailable", reason: "the head is not a change" },
  });
  watch.stop();
});
