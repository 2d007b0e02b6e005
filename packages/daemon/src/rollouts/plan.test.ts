import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { planOrders, type ReplicaView } from "./plan.ts";

const VIEW = fc.record({
  isReachable: fc.boolean(),
  isOrdered: fc.boolean(),
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

// Guards against too many loads where reports do not show an order yet, such
// as one for a version that was configured for a short time, or where a replica
// went silent after its order.
test("no plan exceeds the limits of its group", () => {
  fc.assert(fc.property(LIMITS, VIEWS, (limits, views) => {
    const { orders } = planOrders(limits, views);
    const busy = views.filter((view) =>
      view.isOrdered || view.report?.state === "loading"
    );
    const ready = views.filter((view) =>
      view.isReachable && !view.isOrdered && view.report?.state === "ready"
    );
    const told = views.filter((view) => orders.includes(view.name));
    if (orders.length > 0) {
      expect(orders.length + busy.length)
        .toBeLessThanOrEqual(limits.parallelLoads);
      expect(ready.length - orders.length)
        .toBeGreaterThanOrEqual(limits.minimumReady);
    }
    for (const view of told) {
      expect(ready.includes(view)).toEqual(true);
      expect(view.report?.weights).toEqual("old");
    }
  }));
});

// Guards against a rollout that stops although a replica may be told.
test("a plan tells as many replicas as its group allows", () => {
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
      ...{ name: `r${index}`, report, isReachable: true, isOrdered: false },
    }));
    const { orders, obstacle } = planOrders(limits, views);
    const room = Math.min(limits.parallelLoads, count - limits.minimumReady);
    expect(orders.length).toEqual(Math.max(0, room));
    expect(obstacle !== undefined).toEqual(count > 0 && room <= 0);
  }));
});
