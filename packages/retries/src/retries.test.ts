import { createManualClock } from "@peridotvalve/clock";
import type { GenerationEvent } from "@peridotvalve/types";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AttemptState } from "./attempt.ts";
import { backoffDelay } from "./backoff.ts";
import { createAttemptBudget } from "./budget.ts";
import {
  decideAfterFailure,
  type FailureContext,
  stateAfter,
  type UpstreamFailure,
  type Work,
} from "./decision.ts";
import {
  EMPTY_RACE,
  hedgeDelayOf,
  type HedgeRace,
  type HedgeRaceEvent,
  type HedgeRaceStep,
  stepRace,
} from "./hedge.ts";
import { createLatencyWindow } from "./latency_window.ts";
import {
  applyEvent,
  createRelayRecord,
  resumePointOf,
  switchAttempt,
} from "./relay.ts";

const states = fc.constantFrom<AttemptState>("not sent", "sent", "answered");
const failures: fc.Arbitrary<UpstreamFailure> = fc.record({
  sent: fc.constantFrom(
    "not sent" as const,
    "sent" as const,
    "refused" as const,
  ),
  reason: fc.constantFrom(
    "unreachable" as const,
    "weights mismatch" as const,
    "leaving" as const,
    "busy" as const,
    "timeout" as const,
    "cut" as const,
    "protocol" as const,
    "cancelled" as const,
  ),
  message: fc.constant("m"),
});
const works: fc.Arbitrary<Work> = fc.oneof(
  fc.record({
    kind: fc.constant("call" as const),
    idempotent: fc.boolean(),
  }),
  fc.nat(3).map((offset) => ({
    kind: "generation" as const,
    relay: { ...createRelayRecord("1"), offset, text: "x".repeat(offset) },
  })),
);
const situations: fc.Arbitrary<FailureContext> = fc.record({
  work: works,
  earlier: fc.array(states, { maxLength: 3 }),
  answerBegan: fc.boolean(),
  patience: fc.nat(1_000),
  minimumTime: fc.nat(1_000),
  candidatesLeft: fc.nat(2),
  withinBudget: fc.boolean(),
});

test("a refusal says that nothing ran only if nothing was sent", () => {
  fc.assert(fc.property(failures, situations, (failure, situation) => {
    const decision = decideAfterFailure(failure, situation);
    if (decision.kind !== "refuse") return;
    const all = [
      ...situation.earlier,
      stateAfter(failure, situation.answerBegan),
    ];
    const nothingSent = all.every((state) => state === "not sent");
    expect(decision.failure.ran === "no").toEqual(nothingSent);
  }));
});

test("a non-idempotent call that may have run is never repeated", () => {
  fc.assert(fc.property(failures, situations, (failure, situation) => {
    const work = { kind: "call", idempotent: false } as const;
    const decision = decideAfterFailure(failure, { ...situation, work });
    if (decision.kind === "refuse") return;
    expect(failure.sent).not.toEqual("sent");
    expect(situation.answerBegan).toEqual(false);
    expect(situation.earlier.every((s) => s === "not sent")).toEqual(true);
  }));
});

test("no attempt follows without budget, patience or a candidate", () => {
  fc.assert(fc.property(failures, situations, (failure, situation) => {
    const decision = decideAfterFailure(failure, situation);
    if (decision.kind === "refuse") return;
    expect(situation.withinBudget).toEqual(true);
    expect(situation.candidatesLeft > 0).toEqual(true);
    expect(situation.patience >= situation.minimumTime).toEqual(true);
  }));
});

test("a broken stream resumes after the tokens that the caller has", () => {
  const relay = { ...createRelayRecord("1"), offset: 3, text: "abc" };
  const decision = decideAfterFailure(
    { sent: "sent", reason: "cut", message: "m" },
    {
      work: { kind: "generation", relay },
      earlier: [],
      answerBegan: true,
      patience: 1_000,
      minimumTime: 10,
      candidatesLeft: 1,
      withinBudget: true,
    },
  );
  const from = { offset: 3, text: "abc" };
  expect(decision).toEqual({ kind: "resume", from });
});

const customers = fc.constantFrom("a", "b", "c");
const uses = fc.array(
  fc.record({ customer: customers, first: fc.boolean() }),
  { maxLength: 300 },
);

test("extra attempts stay within the ratio and the reserves", () => {
  fc.assert(
    fc.property(uses, fc.double({ min: 0, max: 1, noNaN: true }), checkBudget),
  );
});

function checkBudget(
  all: readonly { readonly customer: string; readonly first: boolean }[],
  ratio: number,
): void {
  const budget = createAttemptBudget({
    ratio: () => ratio,
    reserve: 5,
    customerReserve: 2,
  });
  const firsts = new Map<string, number>();
  const extras = new Map<string, number>();
  const add = (counts: Map<string, number>, key: string) =>
    counts.set(key, (counts.get(key) ?? 0) + 1);
  for (const { customer, first } of all) {
    for (const key of [customer, "all"]) if (first) add(firsts, key);
    if (first) budget.recordFirstAttempt(customer);
    else if (budget.tryTake(customer)) {
      for (const key of [customer, "all"]) add(extras, key);
    }
    for (const [key, extra] of extras) {
      const reserve = key === "all" ? 5 : 2;
      const bound = reserve + ratio * (firsts.get(key) ?? 0) + 1e-6;
      expect(extra <= bound).toEqual(true);
    }
  }
}

const raceEvents: fc.Arbitrary<readonly HedgeRaceEvent[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(
      "started" as const,
      "first output" as const,
      "failed" as const,
    ),
    attempt: fc.constantFrom("1", "2", "3"),
  }),
  { maxLength: 30 },
);

function countDelivered(
  events: readonly HedgeRaceEvent[],
  step: (race: HedgeRace, event: HedgeRaceEvent) => HedgeRaceStep,
): number {
  let race = EMPTY_RACE;
  const delivered = new Set<string>();
  for (const event of events) {
    const next = step(race, event);
    race = next.race;
    if (next.deliver) delivered.add(event.attempt);
  }
  return delivered.size;
}

test("output of at most one attempt of a hedge race is delivered", () => {
  fc.assert(fc.property(raceEvents, (events) => {
    expect(countDelivered(events, stepRace) <= 1).toEqual(true);
  }));
});

test("the race check fails if the winner is not kept", () => {
  const events = ["1", "2"].flatMap((attempt): readonly HedgeRaceEvent[] => [
    { kind: "started", attempt },
    { kind: "first output", attempt },
  ]);
  const forgetWinner = (race: HedgeRace, event: HedgeRaceEvent) =>
    stepRace({ running: race.running }, event);
  expect(countDelivered(events, forgetWinner)).toEqual(2);
});

test("the other attempts are cancelled after a win, and the failure of all is reported", () => {
  const two = { running: ["1", "2"] };
  const won = stepRace(two, { kind: "first output", attempt: "2" });
  expect(won.cancel).toEqual(["1"]);
  const one = stepRace(two, { kind: "failed", attempt: "1" });
  expect(one.lost).toEqual(false);
  const none = stepRace(one.race, { kind: "failed", attempt: "2" });
  expect(none.lost).toEqual(true);
});

const TEXT = "abcdefgh";

const chunks: fc.Arbitrary<readonly GenerationEvent[]> = fc.array(
  fc.record({
    attempt: fc.constantFrom("1", "2"),
    offset: fc.nat(TEXT.length - 1),
  }).map(({ attempt, offset }) => ({
    kind: "token" as const,
    attempt,
    offset,
    text: TEXT[offset]!,
  })),
  { maxLength: 80 },
);

test("late and interleaved chunks never repeat or skip a token", () => {
  fc.assert(fc.property(chunks, fc.nat(80), (events, switchAt) => {
    let record = createRelayRecord("1");
    for (const [index, event] of events.entries()) {
      if (index === switchAt) record = switchAttempt(record, "2");
      record = applyEvent(record, event).unwrapOr(record);
      expect(TEXT.startsWith(record.text)).toEqual(true);
      expect(record.text.length).toEqual(record.offset);
    }
  }));
});

test("chunks of another attempt and an end with a wrong count are rejected", () => {
  const record = { ...createRelayRecord("2"), offset: 1, text: "a" };
  const token = { kind: "token", attempt: "1", offset: 1, text: "b" } as const;
  expect(applyEvent(record, token).unwrapErr()).toEqual("other attempt");
  const end = { kind: "end", attempt: "2", count: 2, finish: "stop" } as const;
  expect(applyEvent(record, end).unwrapErr()).toEqual("count differs");
  expect(resumePointOf(record)).toEqual({ offset: 1, text: "a" });
});

test("a hedge is sent after the group's quantile and within the patience", () => {
  const base = { patience: 1_000, repeatable: true, candidatesLeft: 1 };
  expect(hedgeDelayOf({ ...base, quantile: 300 })).toEqual(300);
  expect(hedgeDelayOf({ ...base, quantile: 1_500 })).toEqual(undefined);
  expect(hedgeDelayOf({ ...base, quantile: undefined })).toEqual(undefined);
  const order = { ...base, quantile: 300, repeatable: false };
  expect(hedgeDelayOf(order)).toEqual(undefined);
});

test("old latencies are dropped from the window", async () => {
  const clock = createManualClock();
  const window = createLatencyWindow({ clock, rotationPeriod: 1_000 });
  for (let count = 0; count < 20; count += 1) window.record(500);
  expect((window.quantile(0.95) ?? 0) >= 500).toEqual(true);
  await clock.advance(1_000);
  for (let count = 0; count < 20; count += 1) window.record(50);
  await clock.advance(1_000);
  window.record(50);
  expect((window.quantile(0.95) ?? 999) < 100).toEqual(true);
  await clock.advance(2_000);
  expect(window.quantile(0.95)).toEqual(undefined);
});

test("backoff stays within its bounds and is reproducible from its seed", () => {
  const draw = (seed: number) => {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    return Array.from(
      { length: 12 },
      (_, retry) => backoffDelay(retry, { random }),
    );
  };
  expect(draw(7)).toEqual(draw(7));
  for (const [retry, delay] of draw(7).entries()) {
    expect(delay <= Math.min(1_000, 25 * 2 ** retry)).toEqual(true);
  }
});
