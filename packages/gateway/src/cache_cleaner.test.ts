import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import {
  createCacheView,
  createWeightTargets,
  isOutdatedSalt,
  type StoreTraits,
} from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { expect } from "earl";
import { Err } from "ts-results-es";
import { createCacheCleaner } from "./cache_cleaner.ts";
import { ReplicaControl } from "./replica_control.ts";

const STORE: StoreTraits = {
  address: "store:80",
  zone: "espoo",
  capacity: 1_000,
  tokensPerMillisecond: 600,
  startDelay: 1,
};

function createCleaner() {
  const clock = createManualClock();
  const cache = createCacheView();
  const weights = createWeightTargets({ clock, patience: () => 10_000 });
  const freed: string[] = [];
  const control = new (class extends ReplicaControl {
    override isReachable = () => Promise.resolve(true);
    override report() {
      const reason = "not used here";
      return Promise.resolve(Err({ kind: "unavailable" as const, reason }));
    }
    override order() {
      return Promise.resolve("rejected" as const);
    }
    override cacheEvents() {
      const reason = "not used here";
      return Promise.resolve(Err({ kind: "unavailable" as const, reason }));
    }
    override freeParts(
      _address: string,
      { parts }: { parts: readonly (readonly [string, string])[] },
    ) {
      for (const [salt] of parts) freed.push(salt);
      return Promise.resolve(true);
    }
  })();
  const cleaner = createCacheCleaner({
    clock,
    logger: new (class extends EventLogger {
      override log(): void {}
    })(),
    cache,
    control,
    stores: () => [STORE],
    epochOf: () => 1,
    isUnused: (salt, age) => isOutdatedSalt(salt, weights, age),
    rank: () => 0,
  });
  const keep = (salt: string) =>
    cache.apply(STORE.address, { salt, part: "p", tokens: 10 });
  const pass = async (seconds: number) => {
    for (let second = 0; second < seconds; second += 1) {
      await clock.advance(1_000);
    }
  };
  return { cleaner, weights, freed, keep, pass };
}

// Guards against freeing parts under a running fetch: while parts of an older
// version were left, parts of the version that had just been replaced were
// freed at once (albuquerque trouble-2, MIXED at 30.618 s).
test("parts are freed only a while after their own version was replaced", async () => {
  const { cleaner, weights, freed, keep, pass } = createCleaner();
  const stop = new AbortController();
  const running = cleaner.run(stop.signal);
  keep("m@1");
  weights.name("m", 2);
  await pass(4);
  expect(freed).toEqual([]);
  await pass(3);
  expect(freed).toEqual(["m@1"]);
  keep("m@1");
  keep("m@2");
  weights.name("m", 3);
  await pass(4);
  expect(freed.includes("m@2")).toEqual(false);
  await pass(3);
  expect(freed.includes("m@2")).toEqual(true);
  stop.abort();
  await pass(1);
  await running;
});
