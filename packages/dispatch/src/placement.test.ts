import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { isOutdatedSalt, saltOf } from "./placement.ts";
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
