import { Clock, createManualClock } from "@peridotvalve/clock";
import type { Failure } from "@peridotvalve/errors";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createAdmission } from "./admission.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import { createCustomerLimits } from "./customer_limits.ts";
import type { AdmissionRequest, Permit } from "./request.ts";

const FORBIDDEN: Failure = { code: "forbidden", ran: "no", message: "barred" };

interface Setup {
  readonly slots?: number;
  readonly queueLength?: number;
  readonly requestsPerSecond?: number;
  readonly concurrency?: number;
  readonly longPerReplica?: number;
}

function setUp(clock: Clock, setup: Setup = {}) {
  const slots = setup.slots ?? 2;
  const customers = createCustomerLimits({
    clock,
    liveDaemons: () => 1,
    quotaOf: () => ({
      share: 1,
      concurrency: setup.concurrency ?? 1_000,
      requestsPerSecond: setup.requestsPerSecond ?? 1_000_000,
    }),
  });
  return createAdmission({
    clock,
    limit: createConcurrencyLimit({
      clock,
      initial: slots,
      maximum: () => slots,
    }),
    customers,
    queueLength: () => setup.queueLength ?? 100,
    replicas: () => 1,
    longPerReplica: setup.longPerReplica ?? 1,
  });
}

function makeRequest(change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    customer: "a",
    workClass: "advice",
    serviceTime: 100,
    patience: 60_000,
    ...change,
  };
}

const never = () => new AbortController().signal;

/** A clock that can advance without waking sleepers, as in a paused process. */
function createPausableClock() {
  let elapsed = 0;
  let sleepers: (() => void)[] = [];
  const clock = new (class extends Clock {
    override now = () => elapsed;
    override monotonic = () => elapsed;
    override sleep(_duration: number, signal?: AbortSignal): Promise<void> {
      return new Promise((resolve) => {
        sleepers.push(resolve);
        signal?.addEventListener("abort", () => resolve());
      });
    }
  })();
  const pause = (duration: number) => void (elapsed += duration);
  const wake = () => {
    for (const sleeper of sleepers) sleeper();
    sleepers = [];
  };
  return { clock, pause, wake };
}

async function runLateGrant(hidePause: boolean): Promise<string> {
  const { clock, pause, wake } = createPausableClock();
  const frozen = createManualClock();
  const admission = setUp(hidePause ? frozen : clock, { slots: 1 });
  const first = (await admission.admit(makeRequest(), never())).unwrap();
  const second = admission.admit(makeRequest({ patience: 1_000 }), never());
  pause(5_000);
  first.finish();
  wake();
  const result = await second;
  return result.isOk() ? "late permit" : result.error.code;
}

test("a resumed process grants no permit past the deadline", async () => {
  expect(await runLateGrant(false)).toEqual("patience_exceeded");
});

test("the pause check fails if admission uses a stopped clock", async () => {
  expect(await runLateGrant(true)).toEqual("late permit");
});

type Step =
  | { readonly kind: "admit"; readonly request: AdmissionRequest }
  | { readonly kind: "finish" | "abort"; readonly index: number }
  | { readonly kind: "advance"; readonly time: number }
  | { readonly kind: "bar"; readonly customer: string };

const customer = fc.constantFrom("a", "b", "c");
const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant("admit" as const),
      request: fc.record({
        customer,
        workClass: fc.constantFrom("order" as const, "advice" as const),
        serviceTime: fc.constantFrom(10, 500, 20_000),
        patience: fc.integer({ min: 0, max: 60_000 }),
      }),
    }),
    fc.record({
      kind: fc.constantFrom("finish" as const, "abort" as const),
      index: fc.nat(60),
    }),
    fc.record({
      kind: fc.constant("advance" as const),
      time: fc.nat(20_000),
    }),
    fc.record({ kind: fc.constant("bar" as const), customer }),
  ),
  { maxLength: 60 },
);

test("permits are neither lost nor duplicated, and free slots are used", async () => {
  await fc.assert(
    fc.asyncProperty(steps, fc.integer({ min: 2, max: 5 }), runSteps),
    { numRuns: 150 },
  );
});

async function runSteps(all: readonly Step[], slots: number): Promise<void> {
  const clock = createManualClock();
  const admission = setUp(clock, { slots, longPerReplica: 100 });
  const controllers: AbortController[] = [];
  const permits = new Set<Permit>();
  let settled = 0;

  async function admit(request: AdmissionRequest): Promise<void> {
    const controller = new AbortController();
    controllers.push(controller);
    const result = await admission.admit(request, controller.signal);
    settled += 1;
    if (result.isErr()) return expect(result.error.ran).toEqual("no");
    expect(result.value.queuedFor <= request.patience).toEqual(true);
    permits.add(result.value);
  }

  for (const step of all) {
    if (step.kind === "admit") void admit(step.request);
    if (step.kind === "abort") controllers[step.index]?.abort();
    if (step.kind === "advance") await clock.advance(step.time);
    if (step.kind === "bar") {
      admission.revalidate((request) =>
        request.customer === step.customer ? FORBIDDEN : undefined
      );
    }
    await setImmediate();
    if (step.kind === "finish") {
      const permit = [...permits][step.index];
      permit?.finish();
      permit?.finish();
      if (permit !== undefined) permits.delete(permit);
      await setImmediate();
    }
    const status = admission.status();
    expect(status.running).toEqual(permits.size);
    expect(status.running <= slots).toEqual(true);
    // One slot is reserved for short work.
    const usable = status.runningLong < slots - 1 ? slots : slots - 1;
    if (status.running < usable) expect(status.queued).toEqual(0);
  }
  for (let round = 0; round <= all.length; round += 1) {
    for (const permit of permits) permit.finish();
    permits.clear();
    await clock.advance(60_000);
    await setImmediate();
  }
  expect(settled).toEqual(controllers.length);
  expect(admission.status().running).toEqual(0);
}

/**
 * Names in grant order with one slot, where each permit is finished at once.
 */
async function listGrants(
  requests: readonly (readonly [string, Partial<AdmissionRequest>])[],
  setup: Setup = {},
): Promise<readonly string[]> {
  const admission = setUp(createManualClock(), { slots: 1, ...setup });
  const holder = (await admission.admit(makeRequest(), never())).unwrap();
  const order: string[] = [];
  const all = requests.map(async ([name, change]) => {
    const request = makeRequest({ patience: 600_000, ...change });
    const permit = (await admission.admit(request, never())).unwrap();
    order.push(name);
    permit.finish();
  });
  holder.finish();
  await Promise.all(all);
  return order;
}

test("orders have precedence and skip waiting advice at most four times", async () => {
  const orders = Array.from(
    { length: 10 },
    () => ["order", { workClass: "order" }] as const,
  );
  const order = await listGrants([["advice", {}], ...orders]);
  expect(order.indexOf("advice")).toEqual(4);
});

test("long work is skipped by at most 16 short grants", async () => {
  const short = Array.from({ length: 30 }, () => ["short", {}] as const);
  const order = await listGrants([["long", { serviceTime: 20_000 }], ...short]);
  expect(order.indexOf("long")).toEqual(16);
});

test("long work leaves slots to short work and has a lower engine priority", async () => {
  const admission = setUp(createManualClock(), { slots: 4 });
  const long = makeRequest({ serviceTime: 20_000, patience: 600_000 });
  const first = (await admission.admit(long, never())).unwrap();
  void admission.admit(long, never());
  const short = (await admission.admit(makeRequest(), never())).unwrap();
  expect(admission.status().runningLong).toEqual(1);
  expect(first.priority > short.priority).toEqual(true);
});

test("a request that cannot start in time is refused at once with a hint", async () => {
  const admission = setUp(createManualClock(), { slots: 1 });
  for (let count = 0; count < 5; count += 1) {
    void admission.admit(makeRequest({ serviceTime: 1_000 }), never());
  }
  const hasty = makeRequest({ customer: "a", patience: 500 });
  const refusal = (await admission.admit(hasty, never())).unwrapErr();
  expect(refusal.code).toEqual("overloaded");
  expect((refusal.retryAfter ?? 0) >= 3_000).toEqual(true);
});

test("the queue is bounded and queued work survives a drain", async () => {
  const admission = setUp(createManualClock(), { slots: 1, queueLength: 1 });
  const running = (await admission.admit(makeRequest(), never())).unwrap();
  const queued = admission.admit(makeRequest(), never());
  const third = (await admission.admit(makeRequest(), never())).unwrapErr();
  expect(third.code).toEqual("overloaded");
  admission.drain();
  const late = (await admission.admit(makeRequest(), never())).unwrapErr();
  expect(late.code).toEqual("shutting_down");
  running.finish();
  expect((await queued).isOk()).toEqual(true);
});

test("a customer over its request rate is refused until the retry hint has passed", async () => {
  const clock = createManualClock();
  const admission = setUp(clock, { slots: 9, requestsPerSecond: 2 });
  for (let count = 0; count < 2; count += 1) {
    await admission.admit(makeRequest(), never());
  }
  const refusal = (await admission.admit(makeRequest(), never())).unwrapErr();
  expect(refusal.code).toEqual("rate_limited");
  await clock.advance(refusal.retryAfter!);
  expect((await admission.admit(makeRequest(), never())).isOk()).toEqual(true);
});

test("the end of a request of a customer at its limit wakes the queue", async () => {
  const admission = setUp(createManualClock(), { slots: 5, concurrency: 1 });
  const first = (await admission.admit(makeRequest(), never())).unwrap();
  const second = admission.admit(makeRequest(), never());
  await setImmediate();
  expect(admission.status().queued).toEqual(1);
  first.finish();
  expect((await second).isOk()).toEqual(true);
});

test("the limit decreases on late observations and increases only when used", () => {
  const clock = createManualClock();
  let ready = 40;
  const limit = createConcurrencyLimit({
    clock,
    initial: 20,
    maximum: () => ready,
  });
  const record = (latency: number, running: number) => {
    for (let count = 0; count < 20; count += 1) {
      limit.record({ latency, expected: 100, overloaded: false }, running);
    }
  };
  record(100, 3);
  expect(limit.current()).toEqual(20);
  record(100, 20);
  expect(limit.current()).toEqual(21);
  record(1_000, 21);
  expect(limit.current()).toEqual(17);
  ready = 8;
  expect(limit.current()).toEqual(8);
});
