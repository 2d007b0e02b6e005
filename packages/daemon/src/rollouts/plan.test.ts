import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { planLoads, type ReplicaView } from "./plan.ts";

const VIEW = fc.record({
  isReachable: fc.boolean(),
  isCommanded: fc.boolean(),
  report: fc.option(
    fc.record({
      incarnation: fc.constant("i"),
      weights: fc.constantFrom("old", "new"),
      state: fc.constantFrom("ready", "loading", "leaving"),
      running: fc.constant(0),
      waiting: fc.constant(0),
      queuedTokens: fc.constant(0),
      usedBlocks: fc.constant(0),
      freeBlocks: fc.constant(0),
      at: fc.constant(0),
    }),
    { nil: undefined },
  ),
});

const VIEWS = fc.array(VIEW, { maxLength: 12 }).map((views) =>
  views.map((view, index): ReplicaView => ({ ...view, name: `r${index}` }))
);

const LIMITS = fc.record({
  weights: fc.constant("new"),
  parallelLoads: fc.integer({ min: 1, max: 4 }),
  minimumReady: fc.integer({ min: 0, max: 8 }),
});

// Too many replicas could load at once if commands that reports do not show yet
// were not counted, for example those for a version that was configured only
// briefly, or those to replicas that became unreachable afterwards.
test("no plan exceeds the limits of its group", () => {
  fc.assert(fc.property(LIMITS, VIEWS, (limits, views) => {
    const { orders } = planLoads(limits, views);
    const busy = views.filter((view) =>
      view.isCommanded || view.report?.state === "loading"
    );
    const ready = views.filter((view) =>
      view.isReachable && !view.isCommanded && view.report?.state === "ready"
    );
    const commanded = views.filter((view) => orders.includes(view.name));
    if (orders.length > 0) {
      expect(orders.length + busy.length)
        .toBeLessThanOrEqual(limits.parallelLoads);
      expect(ready.length - orders.length)
        .toBeGreaterThanOrEqual(limits.minimumReady);
    }
    for (const view of commanded) {
      expect(ready.includes(view)).toEqual(true);
      expect(view.report?.weights).toEqual("old");
    }
  }));
});

// A rollout must not stop while its limits allow another load.
test("a plan commands as many replicas as its group allows", () => {
  fc.assert(fc.property(LIMITS, fc.integer({ min: 0, max: 12 }), (
    limits,
    count,
  ) => {
    const report = {
      ...{ incarnation: "i", weights: "old", state: "ready", at: 0 } as const,
      ...{ running: 0, waiting: 0, queuedTokens: 0 },
      ...{ usedBlocks: 0, freeBlocks: 0 },
    };
    const views = Array.from({ length: count }, (_, index) => ({
      ...{ name: `r${index}`, report, isReachable: true, isCommanded: false },
    }));
    const { orders, pauseReason } = planLoads(limits, views);
    const allowedLoads = Math.min(
      limits.parallelLoads,
      count - limits.minimumReady,
    );
    expect(orders.length).toEqual(Math.max(0, allowedLoads));
    expect(pauseReason !== undefined).toEqual(count > 0 && allowedLoads <= 0);
  }));
});
