import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createLoadView } from "./load_view.ts";

const REPLICAS = ["a", "b", "c"];
const LIMIT = 400;

const step = fc.record({
  daemon: fc.integer({ min: 0, max: 3 }),
  replica: fc.constantFrom(...REPLICAS),
  ends: fc.boolean(),
  isLost: fc.boolean(),
});

// Guards against totals that drift away from the sum of the peers' entries.
test("totals are the sums after any lost digests, ends and restarts", async () => {
  await fc.assert(fc.asyncProperty(fc.array(step), async (steps) => {
    const clock = createManualClock();
    const views = Array.from({ length: 4 }, () => createLoadView(clock));
    const open = views.map(() => new Map<string, { end(): void }[]>());
    const send = (from: number) => {
      const digest = views[from]?.composeDigest(LIMIT);
      if (digest === undefined) return;
      for (const [to, view] of views.entries()) {
        if (to !== from) view.applyDigest(`${from}`, digest).unwrap();
      }
    };
    for (const { daemon, replica, ends, isLost } of steps) {
      const tracked = open[daemon]?.get(replica) ?? [];
      if (ends) tracked.pop()?.end();
      else {
        const size = { unread: 10, memory: 20 };
        tracked.push(views[daemon]!.trackRequest(replica, size));
      }
      open[daemon]?.set(replica, tracked);
      if (isLost) views[daemon]?.composeDigest(LIMIT);
      else send(daemon);
    }
    await clock.advance(1_000);
    views.forEach((_, from) => send(from));
    for (const replica of REPLICAS) {
      const expected = open.reduce(
        (sum, byReplica) => sum + (byReplica.get(replica)?.length ?? 0),
        0,
      );
      for (const view of views) {
        expect(view.totalLoad(replica).requests).toEqual(expected);
        expect(view.totalLoad(replica).memory).toEqual(expected * 20);
      }
    }
    for (const name of ["0", "1", "2", "3"]) views[0]?.removePeer(name);
    for (const replica of REPLICAS) {
      const own = open[0]?.get(replica)?.length ?? 0;
      expect(views[0]!.totalLoad(replica).requests).toEqual(own);
    }
  }));
});

test("any digest is applied or refused without an exception", () => {
  const view = createLoadView(createManualClock());
  const text = fc.string({ maxLength: 60 });
  fc.assert(
    fc.property(text, text, fc.option(text), (c, above, upTo) => {
      const applied = view.applyDigest("peer", { c, s: [above, upTo] });
      expect(typeof applied.isOk()).toEqual("boolean");
      expect(view.totalLoad("a").requests >= 0).toEqual(true);
    }),
  );
});
