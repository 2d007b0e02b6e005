/**
 * Sound parts that stand in the same crashes as a deadly one, and were never
 * answered before.
 */
import { expect } from "earl";
import { test } from "node:test";
import { ALLOWED_LATE, type Day, playFleet } from "./testing.ts";

const COMPANIONS = ["one", "two", "three", "four"];

const BASE: Day = { crashDelay: -10, deadlyPeriod: 500, soundPeriod: 500 };

const COMPANION_DAYS: Readonly<Record<string, Day>> = {
  "two companions, sound requests after 2 s": {
    ...{ companions: ["one", "two"], soundFrom: 6_000 },
  },
  "two of four companions": {
    ...{ companions: COMPANIONS, soundParts: ["one", "two"], soundFrom: 6_000 },
  },
  "sound requests after 12 s": {
    ...{ companions: COMPANIONS, soundParts: ["two"], soundFrom: 16_000 },
  },
  "crashes after the first event": {
    ...{ companions: ["one", "two"], soundFrom: 6_000, crashDelay: 80 },
  },
  "one deadly request each 3 s": {
    ...{ companions: ["one", "two"], soundFrom: 6_000, deadlyPeriod: 3_000 },
  },
  "companions that vary": {
    ...{
      companions: COMPANIONS,
      companionsHeld: 3,
      soundParts: ["one", "two"],
    },
    ...{ soundFrom: 6_000, daemons: 8 },
  },
  "eight daemons": {
    ...{ companions: ["one", "two"], soundFrom: 6_000, daemons: 8 },
  },
};

for (const [name, day] of Object.entries(COMPANION_DAYS)) {
  // Guards against refusals of all requests with some parts, because the first of
  // them also held a part that crashes replicas.
  test(`the companions of a deadly part are told apart: ${name}`, async () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const result = await playFleet(seed, { ...BASE, ...day, length: 45_000 });
      expect(result.late).toBeLessThanOrEqual(ALLOWED_LATE);
      expect(result.soundShare).toBeGreaterThanOrEqual(0.7);
    }
  });
}
