import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { nameCacheGroup } from "./cache_group.ts";
import { isOutdatedSalt, readSalt, saltOf } from "./placement.ts";
import { createWeightTargets } from "./weights.ts";

// Guards against freeing parts of the first weights while requests fetch them:
// as long as no version had been named, every salt counted as outdated
// (koiratakki quiet-1, MIXED).
test("a salt is outdated only after a newer version was named", () => {
  const weights = createWeightTargets({
    clock: createManualClock(),
    patience: () => 10_000,
  });
  const salt = saltOf({}, "m", 1);
  expect(isOutdatedSalt(salt, weights)).toEqual(false);
  weights.name("m", 2);
  assert(isOutdatedSalt(salt, weights));
  assert(!isOutdatedSalt(saltOf({}, "m", 2), weights));
  assert(!isOutdatedSalt("other@1", weights));
});

test("isolated customers have salts of their own, outdated like others", () => {
  const weights = createWeightTargets({
    clock: createManualClock(),
    patience: () => 10_000,
  });
  weights.name("m", 3);
  const customer = { name: "kennel", isIsolated: true };
  const salt = saltOf({ customer }, "m", 2);
  expect(salt).not.toEqual(saltOf({}, "m", 2));
  assert(isOutdatedSalt(salt, weights));
});

// Guards against WALL: parts that a customer left under the salt of a group are
// found by the others after it has been isolated.
test("the others have another salt once a customer is isolated", () => {
  const groupOf = (...isolated: readonly string[]) => ({
    cacheGroup: nameCacheGroup(isolated),
  });
  const salts = [[], ["a"], ["b"], ["a", "b"]].map((isolated) =>
    saltOf(groupOf(...isolated), "m", 2)
  );
  expect(new Set(salts).size).toEqual(4);
  expect(saltOf(groupOf("b", "a"), "m", 2)).toEqual(salts[3] ?? "");
  expect(salts[0]).toEqual(saltOf({}, "m", 2));
  const customer = { name: "a", isIsolated: true };
  const own = ["a", "b"].map((other) =>
    saltOf({ customer, ...groupOf("a", other) }, "m", 2)
  );
  expect(new Set(own).size).toEqual(1);
  for (const salt of salts) {
    expect(readSalt(salt)).toEqual({ model: "m", version: 2 });
  }
});
