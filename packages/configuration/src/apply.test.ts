import { createManualClock } from "@peridotvalve/clock";
import { createMemoryPlatform, type Json } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { applyConfiguration } from "./apply.ts";
import { readHistory, readVersion } from "./history.ts";

function setUp() {
  const clock = createManualClock(1_000);
  const platform = createMemoryPlatform({ clock });
  const start = (change: string, content: Json, base?: number) =>
    applyConfiguration({
      change,
      content,
      author: "maija",
      ...(base === undefined ? {} : { base }),
    }, { platform, clock });
  /** Applies while the clock advances, so that delays and timeouts end. */
  const apply = async (change: string, content: Json, base?: number) => {
    const settlement = start(change, content, base);
    await clock.advance(30_000);
    return await settlement;
  };
  return { clock, platform, start, apply };
}

test("changes get rising versions and stay in the history", async () => {
  const { platform, apply } = setUp();
  const options = { platform, timeout: 1_000 };
  for (const [index, change] of ["a", "b", "c"].entries()) {
    const settlement = await apply(change, { index });
    expect(settlement.kind).toEqual("done");
  }
  const history = await readHistory({ after: 1, limit: 10 }, options);
  expect(history.unwrap().map(({ version, change }) => [version, change]))
    .toEqual([[2, "b"], [3, "c"]]);
  const second = await readVersion(2, options);
  expect(second.unwrap())
    .toEqual({ version: 2, change: "b", content: { index: 1 } });
  expect((await readVersion(4, options)).unwrap()).toEqual(undefined);
});

test("of concurrent changes one wins and the others learn which", async () => {
  const { clock, start } = setUp();
  const settling = ["a", "b", "c"].map((change) => start(change, { change }));
  await clock.advance(30_000);
  const settlements = await Promise.all(settling);
  const winners = settlements.filter(({ kind }) => kind === "done");
  expect(winners.length).toEqual(1);
  for (const settlement of settlements) {
    if (settlement.kind === "done") continue;
    expect(settlement).toEqual({
      kind: "not done",
      reason: {
        kind: "conflict",
        version: 1,
        change: winners[0]!.kind === "done" ? winners[0]!.value.change : "",
      },
    });
  }
});

test("a change from an old base is a conflict", async () => {
  const { apply } = setUp();
  await apply("a", 1, 0);
  const conflict = await apply("b", 2, 0);
  expect(conflict).toEqual({
    kind: "not done",
    reason: { kind: "conflict", version: 1, change: "a" },
  });
});

test("a lost response is resolved after a later change", async () => {
  const { clock, platform, start, apply } = setUp();
  await apply("a", 1);
  // Storing the object succeeds, then the response to the transaction is lost.
  const faults = ["none", "lose answer"] as const;
  let count = 0;
  platform.setFaults({ chooseFault: () => faults[count++] ?? "none" });
  const settling = start("b", 2);
  // While the caller waits after the lost response, "c" supersedes "b".
  while (count < 2) await new Promise(setImmediate);
  const later = await start("c", 3, 2);
  expect(later.kind).toEqual("done");
  await clock.advance(30_000);
  const settlement = await settling;
  expect(settlement.kind === "done" && settlement.value.version).toEqual(2);
});

test("a transaction that takes effect late is accepted once", async () => {
  const { platform, apply } = setUp();
  const faults = ["none", "late effect", "lose request"] as const;
  let count = 0;
  platform.setFaults({
    lateEffectDelay: 150,
    chooseFault: () => faults[count++] ?? "none",
  });
  const settlement = await apply("a", 1);
  expect(settlement.kind === "done" && settlement.value.version).toEqual(1);
  const repeat = await apply("a", 1);
  expect(repeat).toEqual(settlement);
  const reused = await apply("a", 2);
  expect(reused.kind === "not done" && reused.reason.kind).toEqual("invalid");
});

test("an outage rejects, a lost response in an outage is unknown", async () => {
  const { platform, apply } = setUp();
  platform.setFaults({ outage: true });
  const refused = await apply("a", 1);
  expect(refused.kind === "not done" && refused.reason.kind)
    .toEqual("unavailable");
  const faults = ["none", "lose answer"] as const;
  let count = 0;
  platform.setFaults({
    outage: false,
    chooseFault: () => {
      const fault = faults[count++];
      if (fault === "lose answer") platform.setFaults({ outage: true });
      return fault ?? "none";
    },
  });
  expect((await apply("b", 1)).kind).toEqual("unknown");
  platform.setFaults({ outage: false });
  expect((await apply("b", 1)).kind).toEqual("done");
});
