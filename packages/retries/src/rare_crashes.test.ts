/**
 * Parts that crash replicas seldom: some seconds or minutes lie between the
 * requests with them.
 */
import { expect } from "earl";
import { test } from "node:test";
import { ALLOWED_LATE, type Day, DEADLY, playFleet } from "./testing.ts";

const MINUTE = 60_000;
const PERIODS = 12;

const RARE_DAYS: Readonly<Record<string, Day>> = {
  "one each 8 s": { deadlyPeriod: 8_000 },
  "one each 30 s": { deadlyPeriod: 30_000 },
  "one each minute": { deadlyPeriod: MINUTE },
};

for (const [name, day] of Object.entries(RARE_DAYS)) {
  for (const crashDelay of [-10, 80]) {
    // Guards against a part that crashes replicas without end because earlier
    // crashes are forgotten before there are three.
    test(`a fleet condemns a part with requests ${name}, crash at ${crashDelay} ms`, async () => {
      for (let seed = 1; seed <= 4; seed += 1) {
        const length = PERIODS * (day.deadlyPeriod ?? 0);
        const result = await playFleet(seed, { ...day, crashDelay, length });
        expect(result.late).toBeLessThanOrEqual(ALLOWED_LATE);
        expect(result.condemned).toEqual([DEADLY]);
      }
    });
  }
}

/** Requests that come together meet daemons of which each may try the part. */
const GROUP_DAYS: Readonly<Record<string, Day>> = {
  "four each 16 s": { deadlyPeriod: 16_000, deadlyGroup: 4 },
  "three each 20 s": { deadlyPeriod: 20_000, deadlyGroup: 3 },
  "eight each minute": { deadlyPeriod: MINUTE, deadlyGroup: 8, daemons: 8 },
};

for (const [name, day] of Object.entries(GROUP_DAYS)) {
  for (const crashDelay of [-10, 80]) {
    // Guards against trials of one part by all daemons at the same time.
    test(`one daemon at a time tries a part with requests ${name}, crash at ${crashDelay} ms`, async () => {
      for (let seed = 1; seed <= 4; seed += 1) {
        const length = PERIODS * (day.deadlyPeriod ?? 0);
        const group = { ...day, isDeadlyAffine: true, length };
        const result = await playFleet(seed, { ...group, crashDelay });
        expect(result.late).toBeLessThanOrEqual(ALLOWED_LATE);
        expect(result.condemned).toEqual([DEADLY]);
      }
    });
  }
}

for (const endPeriod of [700, 2_000, 8_000]) {
  // Guards against refusals of parts that come back seldom, because the crashes
  // of minutes add up.
  test(`replicas that end every ${endPeriod} ms condemn no part that comes back`, async () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = { endPeriod, conversations: 500, length: 3 * MINUTE };
      const result = await playFleet(seed, day);
      expect(result.condemned).toEqual([]);
    }
  });
}
