import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { createStageClock, type StageTimes } from "./stage_clock.ts";

/** An attempt that starts at 30, is written at 35 and gets a byte at 95. */
const ATTEMPT = { startedAt: 30, sentAt: 35, firstByteAt: 95 };

const NONE: StageTimes = {
  body: 0,
  wait: 0,
  send: 0,
  first_byte: 0,
  response: 0,
  failed: 0,
};

function sum(times: StageTimes): number {
  return Object.values(times).reduce((total, time) => total + time, 0);
}

test("a request without failures has its time in five stages", () => {
  const stages = createStageClock(10, 12);
  stages.keep(ATTEMPT, 200);
  expect(stages.end(200)).toEqual({
    ...{ ...NONE, body: 2, wait: 18, send: 5 },
    ...{ first_byte: 60, response: 105 },
  });
});

// Guards against a replica that fails slowly and counts as slow to prefill.
test("the time of a failed attempt is lost, and the wait after it is not", () => {
  const stages = createStageClock(10, 12);
  stages.lose(ATTEMPT, 200, 0);
  stages.keep({ startedAt: 250, sentAt: 251, firstByteAt: 300 }, 310);
  expect(stages.end(310)).toEqual({
    ...{ body: 2, wait: 68, send: 1, first_byte: 49, response: 10 },
    failed: 170,
  });
});

// Guards against a long stream that counts as lost time because it broke off
// near its end.
test("a broken stream loses the time after its last event", () => {
  const stages = createStageClock(10, 12);
  stages.lose(ATTEMPT, 200, 180);
  expect(stages.end(200)).toEqual({
    ...{ body: 2, wait: 18, send: 5, first_byte: 60, response: 85 },
    failed: 20,
  });
});

// Guards against time that counts twice while two attempts run.
test("an attempt beside a silent one takes over from its start", () => {
  const stages = createStageClock(10, 12);
  stages.lose({ ...ATTEMPT, firstByteAt: undefined }, 200, 0);
  stages.keep({ startedAt: 150, sentAt: 152, firstByteAt: 210 }, 220);
  expect(stages.end(220)).toEqual({
    ...{ body: 2, wait: 18, send: 2, first_byte: 58, response: 10 },
    failed: 120,
  });
});

// Guards against a request that timed out and hides the stage in which it was.
test("an attempt cut short ends in the stage that it had reached", () => {
  const [unsent, unanswered] = [createStageClock(0, 0), createStageClock(0, 0)];
  const attempt = { startedAt: 10, firstByteAt: undefined };
  unsent.keep({ ...attempt, sentAt: undefined }, 50);
  unanswered.keep({ ...attempt, sentAt: 20 }, 50);
  expect(unsent.end(50)).toEqual({ ...NONE, wait: 10, send: 40 });
  expect(unanswered.end(50)).toEqual({
    ...{ ...NONE, wait: 10, send: 10, first_byte: 30 },
  });
});

// Guards against gaps and overlaps for any sequence of attempts.
test("the stages add up to the whole time", () => {
  const step = fc.nat(1_000);
  const attempt = fc.record({
    wait: fc.integer({ min: -500, max: 500 }),
    sent: fc.option(step),
    first: fc.option(step),
    rest: step,
    used: fc.option(step),
  });
  fc.assert(
    fc.property(
      step,
      step,
      fc.array(attempt),
      step,
      (start, body, all, end) => {
        const stages = createStageClock(start, start + body);
        let now = start + body;
        for (const { wait, sent, first, rest, used } of all) {
          const startedAt = Math.max(start + body, now + wait);
          const sentAt = startedAt + (sent ?? 0);
          const firstByteAt = sentAt + (first ?? 0);
          now = Math.max(now, firstByteAt + rest);
          const times = {
            startedAt,
            sentAt: sent === null ? undefined : sentAt,
            firstByteAt: first === null ? undefined : firstByteAt,
          };
          if (used === null) stages.keep(times, now);
          else stages.lose(times, now, Math.min(now, firstByteAt + used));
        }
        const times = stages.end(now + end);
        expect(sum(times)).toEqual(now + end - start);
        expect(Object.values(times).every((time) => time >= 0)).toEqual(true);
      },
    ),
  );
});
