/** Parts that crash replicas after their answers, with no request on them. */
import { expect } from "earl";
import { test } from "node:test";
import { ALLOWED_LATE, type Day, DEADLY, playFleet } from "./testing.ts";

const BASE: Day = { deadlyPeriod: 900, deadlyDuration: 30, crashDelay: 70 };

const IDLE_DAYS: Readonly<Record<string, Day>> = {
  "few sound requests": { soundPeriod: 500 },
  "many sound requests": {},
  "sound streams on every replica": { duration: 20_000, soundPeriod: 500 },
  "a crash a quarter of a second later": { soundPeriod: 500, crashDelay: 280 },
  "a crash 0.7 s after the answer": { soundPeriod: 500, crashDelay: 730 },
  "an answer without events": { soundPeriod: 500, crashDelay: 40 },
  "sound requests on one other replica": {
    ...{ deadlyPeriod: 8_000, isDeadlyAffine: true, isSoundAffine: true },
    ...{ soundPeriod: 500, duration: 30 },
  },
  "one deadly request each 8 s": { soundPeriod: 500, deadlyPeriod: 8_000 },
};

for (const [name, day] of Object.entries(IDLE_DAYS)) {
  // Guards against a part that crashes replicas without end, as each ends with no
  // request on it that would be broken off.
  test(`a fleet condemns a part after whose answers replicas end: ${name}`, async () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const length = 100 * (day.deadlyPeriod ?? 900);
      const play = { ...BASE, ...day, length: Math.min(length, 120_000) };
      const result = await playFleet(seed, play);
      expect(result.late).toBeLessThanOrEqual(ALLOWED_LATE);
      expect(result.condemned).toEqual([DEADLY]);
    }
  });
}

for (const endPeriod of [900, 3_000]) {
  // Guards against refusals of sound parts because replicas end for another reason
  // just after short answers.
  test(`replicas that end every ${endPeriod} ms after short answers condemn no part`, async () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      for (const conversations of [7, 500]) {
        const day = { endPeriod, duration: 30, conversations, length: 60_000 };
        const result = await playFleet(seed, day);
        expect(result.condemned).toEqual([]);
      }
    }
  });
}
