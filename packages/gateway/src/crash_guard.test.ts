/**
 * Which ends of attempts count as crashes, and what is logged and refused.
 */
import { incarnationKey } from "@peridotvalve/backpressure";
import { createManualClock } from "@peridotvalve/clock";
import {
  createReplicaTable,
  type DispatchRequest,
  type ReplicaEntry,
} from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { createCrashEvidence, SETTLING_TIME } from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import type { AttemptOutcome } from "./attempt_watch.ts";
import {
  CONDEMNED,
  CONDEMNED_REQUEST,
  createCrashGuard,
  SUSPECT,
  SUSPECT_REQUEST,
} from "./crash_guard.ts";
import { fingerprintOf } from "./request_fingerprint.ts";

const ANSWERED: AttemptOutcome = { kind: "done", status: 200 };
const BROKEN: AttemptOutcome = { kind: "lost", reason: "other side closed" };
const REFUSED: AttemptOutcome = {
  ...{
    kind: "not run",
    reason: "replica full",
    misdirected: false,
    replaced: false,
  },
  answer: { isRefusal: true, isMisdirected: false },
};
const GAP = 400;

/** Fields that state how many parts a crash counts against. */
const countsParts = (parts: number) => ({ parts, sinceFirstEvent: 0 });

/** Fields of the line of an attempt whose request has no fingerprint. */
const BROKEN_OFF = {
  ...{ fingerprint: "", hasBegun: false, evidence: "recorded" },
  ...countsParts(2),
};

function createRequest(...parts: readonly string[]): DispatchRequest {
  return {
    ...{ id: "q", service: "llm", arrivedAt: 0, deadline: 5_000 },
    route: {
      ...{ name: "advice", kind: "stream", service: "llm", timeout: 5_000 },
    } as unknown as DispatchRequest["route"],
    prompt: {
      ...{ model: "m", promptTokens: 9, outputTokens: 9 },
      parts: [...parts, "own"].map((id) => ({ id, tokens: 3 })),
    },
  };
}

/** Model and customer of a request. */
interface Scope {
  readonly model?: string;
  readonly customer?: DispatchRequest["customer"];
}

function scoped(
  request: DispatchRequest,
  { model = "m", customer }: Scope = {},
): DispatchRequest {
  const { prompt } = request;
  if (prompt === undefined) throw new Error("the request has no prompt");
  const owner = customer === undefined ? {} : { customer };
  return { ...request, ...owner, prompt: { ...prompt, model } };
}

function createCustomer(
  name: string,
  isIsolated: boolean,
): NonNullable<DispatchRequest["customer"]> {
  return { name, isIsolated, priority: 1 } as NonNullable<
    DispatchRequest["customer"]
  >;
}

function createSetup() {
  const clock = createManualClock();
  const stopped = new AbortController();
  const logged: (readonly [name: string, fields: unknown])[] = [];
  const logger = new (class extends EventLogger {
    override log(name: string, fields: unknown): void {
      logged.push([name, fields]);
    }
  })();
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  const entryOf = (number: number): ReplicaEntry => ({
    ...{ id: `r${number}`, service: "llm", address: "a:80", zone: "espoo" },
    ...{ slots: 8, state: "ready", weights: new Map(), born: 5 },
  });
  for (let number = 0; number < 9; number += 1) replicas.put(entryOf(number));
  let announced = 0;
  let isDown = false;
  const crashes = createCrashEvidence({
    clock,
    onCondemned: (verdict) => guard.recordVerdict(verdict),
    onLifted: (key) => guard.recordRelease(key),
    onProven: (key, count) => guard.recordProof(key, count),
  });
  const guard = createCrashGuard({
    ...{ clock, logger, crashes, replicas, stopped: stopped.signal },
    refuses: () => Promise.resolve(isDown),
    announce: () => announced += 1,
  });

  /** Ends an attempt on a replica before or after its first event. */
  async function end(
    number: number,
    parts: readonly string[],
    options: {
      hasEvent?: boolean;
      /** Time from the first event to the last. */
      eventsFor?: Milliseconds;
      wasBrokenOff?: boolean;
      outcome?: AttemptOutcome;
      scope?: Scope;
    } = {},
  ): Promise<void> {
    const request = scoped(createRequest(...parts), options.scope);
    const admission = guard.admit(request, entryOf(number));
    if (admission.kind === "refused") throw new Error(admission.reason);
    const { attempt } = admission;
    const { hasEvent = false, eventsFor } = options;
    if (hasEvent || eventsFor !== undefined) attempt.recordEvent();
    if (eventsFor !== undefined) {
      await clock.advance(eventsFor);
      attempt.recordReceived();
    }
    attempt.recordEnd(options.outcome ?? BROKEN, options.wasBrokenOff ?? true);
    attempt.release();
    await clock.advance(GAP);
  }

  return {
    ...{ clock, replicas, guard, crashes, logged, stopped, entryOf, end },
    announced: () => announced,
    setDown: (down: boolean) => isDown = down,
    check: (hasCrashed: boolean, ...parts: readonly string[]) =>
      guard.check(createRequest(...parts), hasCrashed)?.reason,
  };
}

// Guards against requests that are sent or repeated although each crash so far
// had their part, and against other requests that are refused with them.
test("a request is not repeated after two crashes and not sent after three", async () => {
  const { check, end, guard, logged, announced, entryOf } = createSetup();
  await end(0, ["s"], { outcome: ANSWERED, wasBrokenOff: false });
  await end(1, ["s", "p"]);
  expect(check(true, "s", "p")).toEqual(undefined);
  await end(2, ["s", "p"]);
  expect(check(false, "s", "p")).toEqual(undefined);
  expect(check(true, "s", "p")).toEqual(SUSPECT);
  await end(3, ["s", "p"]);
  expect(check(false, "s", "p")).toEqual(CONDEMNED);
  expect(check(true, "s")).toEqual(undefined);
  const late = guard.admit(createRequest("s", "p"), entryOf(4));
  expect(late.kind).toEqual("refused");
  // Two for the first crashes, one for the third and one for the verdict.
  expect(announced()).toEqual(4);
  const names = logged.map(([name]) => name);
  expect(names.filter((name) => name === "part_condemned").length).toEqual(1);
  expect(logged.slice(0, 2)).toEqual([
    ["attempt_broken_off", BROKEN_OFF],
    ["replica_ended", { beforeEvent: 1, afterEvent: 0, isCrash: true }],
  ]);
});

// Guards against the last part of a prompt, which no other request has, that
// fills the evidence, and against refusals of requests that share nothing with
// those on replicas that ended.
test("requests without shared parts are judged only by their own crashes", async () => {
  const { check, clock, end, guard, entryOf } = createSetup();
  for (const number of [0, 1, 2, 3]) await end(number, []);
  expect(check(true)).toEqual(undefined);
  const { prompt: _prompt, ...plain } = createRequest("p");
  expect(guard.check(plain, true)).toEqual(undefined);
  for (const number of [4, 5, 6, 7]) {
    const request = createPlainRequest(`sound${number}`);
    const admission = guard.admit(request, entryOf(number));
    if (admission.kind === "refused") throw new Error(admission.reason);
    admission.attempt.recordEnd(BROKEN, true);
    await clock.advance(GAP);
    expect(guard.check(request, true)).toEqual(undefined);
  }
  expect(guard.check(createPlainRequest("new"), true)).toEqual(undefined);
});

const SCOPES: Readonly<Record<string, readonly [Scope, Scope, boolean]>> = {
  "another model": [{ model: "m" }, { model: "n" }, false],
  "an isolated customer": [
    { customer: createCustomer("a", false) },
    { customer: createCustomer("b", true) },
    false,
  ],
  "another isolated customer": [
    { customer: createCustomer("a", true) },
    { customer: createCustomer("b", true) },
    false,
  ],
  "another customer of the same caches": [
    { customer: createCustomer("a", false) },
    { customer: createCustomer("b", false) },
    true,
  ],
};

for (const [name, [deadly, other, isShared]] of Object.entries(SCOPES)) {
  // Guards against a part that is refused where it is sound, or hidden by
  // answers from there, and against a customer who gets the parts of an
  // isolated one refused.
  test(`crashes with a part ${isShared ? "" : "don't "}count for ${name}`, async () => {
    const { guard, end, logged } = createSetup();
    const reasonFor = (scope: Scope) =>
      guard.check(scoped(createRequest("p"), scope), false)?.reason;
    for (const number of [1, 2, 3]) {
      await end(number, ["p"], { scope: deadly });
      if (isShared) continue;
      const options = { hasEvent: true, wasBrokenOff: false, scope: other };
      await end(4, ["p"], options);
    }
    expect(reasonFor(deadly)).toEqual(CONDEMNED);
    expect(reasonFor(other)).toEqual(isShared ? CONDEMNED : undefined);
    const condemned = logged.filter(([one]) => one === "part_condemned");
    expect((condemned[0]?.[1] as { part?: string }).part).toEqual("p");
  });
}

// Guards against a log line whose part operators do not find in any request.
test("a released part is logged with the id that requests carry", async () => {
  const { clock, end, guard, logged, entryOf } = createSetup();
  const early = guard.admit(createRequest("p"), entryOf(8));
  if (early.kind === "refused") throw new Error(early.reason);
  for (const number of [1, 2, 3]) await end(number, ["p"]);
  early.attempt.recordEvent();
  await clock.advance(SETTLING_TIME);
  early.attempt.recordReceived();
  expect(logged.at(-1)).toEqual(["part_released", { part: "p" }]);
});

const HARMLESS: Readonly<
  Record<string, (setup: ReturnType<typeof createSetup>) => Promise<void>>
> = {
  // The platform takes replicas away under requests, each with a notice or by
  // the removal of its entry.
  async "replicas that are leaving or no longer listed"(setup) {
    const { replicas, end, entryOf } = setup;
    for (const number of [0, 1, 2]) {
      replicas.put({ ...entryOf(number), state: "leaving" });
    }
    for (const number of [3, 4, 5]) replicas.remove(`r${number}`);
    for (const number of [0, 1, 2, 3, 4, 5]) await end(number, ["p"]);
  },
  // Cut links and callers that leave.
  async "attempts that are cancelled here"({ end }) {
    for (const number of [0, 1, 2, 3]) {
      await end(number, ["p"], { wasBrokenOff: false });
    }
  },
  async "attempts that delivered events for some time"({ end }) {
    for (const number of [0, 1, 2, 3, 4, 5, 6, 7]) {
      await end(number, ["p"], { eventsFor: SETTLING_TIME });
    }
  },
  // The connection ends inside the body of the refusal, which is discarded.
  async "refusals whose connection ends"({ end }) {
    for (const number of [0, 1, 2, 3]) {
      await end(number, ["p"], { outcome: REFUSED });
    }
  },
  async "attempts that end with the daemon"({ end, stopped }) {
    stopped.abort();
    for (const number of [0, 1, 2, 3]) await end(number, ["p"]);
  },
};

for (const [name, run] of Object.entries(HARMLESS)) {
  // Guards against refusals because of ends that say nothing about a part.
  test(`no part is condemned for ${name}`, async () => {
    const setup = createSetup();
    await run(setup);
    expect(setup.check(true, "p")).toEqual(undefined);
    const condemned = setup.logged.filter(([one]) => one === "part_condemned");
    expect(condemned).toEqual([]);
  });
}

for (const age of [5, 250]) {
  // Guards against a part that is never refused, because its first event counts
  // as a proof that it is sound (review/7, BUDGET).
  test(`a part that crashes replicas ${age} ms after the first event is refused`, async () => {
    const { check, clock, end, guard, entryOf } = createSetup();
    await end(8, ["s"], { eventsFor: SETTLING_TIME, wasBrokenOff: false });
    for (const number of [0, 1, 2, 3, 4]) {
      const admission = guard.admit(createRequest("s", "p"), entryOf(number));
      if (admission.kind === "refused") break;
      const { attempt } = admission;
      attempt.recordEvent();
      await clock.advance(age);
      attempt.recordEnd({ kind: "broken", reason: "closed" }, true);
      attempt.release();
      await clock.advance(2 * GAP);
    }
    expect(check(false, "s", "p")).toEqual(CONDEMNED);
    expect(check(false, "s")).toEqual(undefined);
  });
}

// Guards against a reset connection that is told and logged as a crash.
test("a replica that sends data after a reset has not crashed", async () => {
  const { guard, clock, logged, announced, entryOf } = createSetup();
  const open = () => {
    const admission = guard.admit(createRequest("p"), entryOf(0));
    if (admission.kind === "refused") throw new Error(admission.reason);
    return admission.attempt;
  };
  const [reset, live] = [open(), open()];
  reset.recordEnd(BROKEN, true);
  await clock.advance(200);
  live.recordReceived();
  await clock.advance(GAP);
  expect(announced()).toEqual(0);
  expect(logged).toEqual([
    ["attempt_broken_off", { ...BROKEN_OFF, ...countsParts(1) }],
    ["replica_ended", { beforeEvent: 1, afterEvent: 0, isCrash: false }],
  ]);
});

// Guards against a log that does not say why an attempt that was broken off is
// no evidence, or that does not tie a repeated request together.
test("each attempt that is broken off is logged with its evidence", () => {
  const { guard, logged, entryOf, replicas } = createSetup();
  const request = { ...createRequest("p"), fingerprint: "s/f" };
  const { prompt: _prompt, ...plain } = request;
  const breakOff = (
    sent: DispatchRequest,
    number: number,
    { hasEvent = false } = {},
  ) => {
    const admission = guard.admit(sent, entryOf(number));
    if (admission.kind === "refused") throw new Error(admission.reason);
    if (hasEvent) admission.attempt.recordEvent();
    admission.attempt.recordEnd(BROKEN, true);
  };
  replicas.put({ ...entryOf(1), state: "leaving" });
  breakOff(request, 0);
  breakOff(request, 1);
  breakOff(request, 2, { hasEvent: true });
  breakOff(plain, 3);
  const { fingerprint: _fingerprint, ...unknown } = plain;
  breakOff(unknown, 4);
  const lines = logged.filter(([name]) => name === "attempt_broken_off");
  const fingerprint = "s/f";
  expect(lines.map(([, fields]) => fields)).toEqual([
    { fingerprint, hasBegun: false, evidence: "recorded", ...countsParts(1) },
    {
      fingerprint,
      hasBegun: false,
      evidence: "planned end",
      ...countsParts(0),
    },
    { fingerprint, hasBegun: true, evidence: "recorded", ...countsParts(1) },
    { fingerprint, hasBegun: false, evidence: "recorded", ...countsParts(0) },
    {
      fingerprint: "",
      hasBegun: false,
      evidence: "no suspects",
      ...countsParts(0),
    },
  ]);
});

/** A request without a prompt that callers repeat. */
function createPlainRequest(fingerprint: string): DispatchRequest {
  const { prompt: _prompt, ...request } = createRequest();
  return { ...request, fingerprint: `shop-1/${fingerprint}` };
}

function createOnePartPrompt(fingerprint: string): DispatchRequest {
  return { ...createRequest(), fingerprint: `shop-1/${fingerprint}` };
}

const KINDS: Readonly<
  Record<string, readonly [(name: string) => DispatchRequest, boolean]>
> = {
  "a request without a prompt": [createPlainRequest, false],
  "a prompt of one part": [createOnePartPrompt, false],
  "a stream after its first event": [createOnePartPrompt, true],
};

for (const [name, [create, hasEvent]] of Object.entries(KINDS)) {
  // Guards against a request that crashes one replica after the other, because
  // no part that it shares with others explains the crashes.
  test(`${name} that crashes three replicas is refused`, async () => {
    const { clock, guard, logged, entryOf } = createSetup();
    const breakOff = async (number: number) => {
      const admission = guard.admit(create("deadly"), entryOf(number));
      if (admission.kind === "refused") throw new Error(admission.reason);
      const { attempt } = admission;
      if (hasEvent) attempt.recordEvent();
      attempt.recordEnd({ kind: "broken", reason: "closed" }, true);
      attempt.release();
      await clock.advance(GAP);
    };
    const check = (request: string, hasCrashed: boolean) =>
      guard.check(create(request), hasCrashed)?.reason;
    await breakOff(0);
    expect(check("deadly", true)).toEqual(undefined);
    await breakOff(1);
    expect(check("deadly", false)).toEqual(undefined);
    expect(check("deadly", true)).toEqual(SUSPECT_REQUEST);
    await breakOff(2);
    expect(check("deadly", false)).toEqual(CONDEMNED_REQUEST);
    expect(check("other", true)).toEqual(undefined);
    const late = guard.admit(create("deadly"), entryOf(4));
    expect(late.kind).toEqual("refused");
    const condemned = logged.filter(([line]) => line === "request_condemned");
    expect(condemned.map(([, fields]) => fields)).toEqual([
      {
        ...{ fingerprint: "shop-1/deadly", crashes: 3 },
        ...{ strikes: 4, hold: 240_000 },
      },
    ]);
    expect(logged.some(([line]) => line === "part_condemned")).toEqual(false);
  });
}

const ANSWERS: Readonly<Record<string, AttemptOutcome>> = {
  "a complete answer": { kind: "done", status: 200 },
  "a client error of the replica": { kind: "done", status: 404 },
  "a failure of the replica": { kind: "failed", status: 500 },
};

for (const [name, outcome] of Object.entries(ANSWERS)) {
  // Guards against sound requests that are refused for minutes because they were
  // on replicas that ended.
  test(`${name} lifts the verdict on a request`, async () => {
    const { clock, guard, logged, entryOf } = createSetup();
    const request = createPlainRequest("sound");
    const admit = (number: number) => {
      const admission = guard.admit(request, entryOf(number));
      if (admission.kind === "refused") throw new Error(admission.reason);
      return admission.attempt;
    };
    const attempts = [0, 1, 2, 3].map(admit);
    const last = attempts.pop();
    for (const attempt of attempts) {
      attempt.recordEnd(BROKEN, true);
      await clock.advance(GAP);
    }
    expect(guard.check(request, false)?.reason).toEqual(CONDEMNED_REQUEST);
    last?.recordEnd(outcome, false);
    expect(guard.check(request, false)).toEqual(undefined);
    expect(logged.at(-1)).toEqual([
      "request_released",
      { fingerprint: "shop-1/sound" },
    ]);
  });
}

// Guards against refusals because of ends that say nothing about a request.
test("a request on replicas that leave or refuse it is not condemned", () => {
  const { guard, entryOf, replicas } = createSetup();
  const request = createPlainRequest("sound");
  const end = (number: number, outcome: AttemptOutcome, isBroken: boolean) => {
    const admission = guard.admit(request, entryOf(number));
    if (admission.kind === "refused") throw new Error(admission.reason);
    admission.attempt.recordEnd(outcome, isBroken);
  };
  for (const number of [0, 1, 2]) {
    replicas.put({ ...entryOf(number), state: "leaving" });
    end(number, BROKEN, true);
  }
  for (const number of [3, 4, 5]) {
    end(number, REFUSED, true);
    end(number, BROKEN, false);
    end(number, { kind: "unsent", reason: "connect ECONNREFUSED" }, false);
  }
  expect(guard.check(request, true)).toEqual(undefined);
});

/** A prompt with a part of its own, as it comes with the body. */
function createPrompt(part: string, body?: string): DispatchRequest {
  const request = createRequest(part);
  const fingerprint = fingerprintOf(request, {
    ...{ method: "POST", path: "/advice/" },
    body: body === undefined ? undefined : Buffer.from(body),
  });
  return { ...request, fingerprint };
}

function runPrompts() {
  const { clock, guard, entryOf } = createSetup();
  const run = async (request: DispatchRequest, number: number, end: {
    readonly outcome: AttemptOutcome;
  }) => {
    const admission = guard.admit(request, entryOf(number));
    if (admission.kind === "refused") return admission.reason;
    admission.attempt.recordEnd(end.outcome, end.outcome === BROKEN);
    admission.attempt.release();
    await clock.advance(GAP);
    return undefined;
  };
  return {
    crash: (request: DispatchRequest, number: number) =>
      run(request, number, { outcome: BROKEN }),
    answer: (request: DispatchRequest, number: number) =>
      run(request, number, { outcome: { kind: "done", status: 200 } }),
  };
}

// Guards against a request that crashes one replica after the other, as its
// caller names another prefix of the prompt each time.
test("a crashing body is held whatever prefix comes with it", async () => {
  const { crash } = runPrompts();
  for (const number of [0, 1, 2]) {
    const request = createPrompt(`p${number}`, "deadly");
    expect(await crash(request, number)).toEqual(undefined);
  }
  const reason = await crash(createPrompt("p3", "deadly"), 3);
  expect(reason).toEqual(CONDEMNED_REQUEST);
  expect(await crash(createPrompt("p4", "sound"), 4)).toEqual(undefined);
});

// Guards against sound requests without a body that are held for another's
// crashes, because nothing but the prompt tells them apart.
test("prompts without a body are held for their own crashes", async () => {
  for (const body of [undefined, ""]) {
    const { crash, answer } = runPrompts();
    for (const number of [0, 1, 2]) {
      await crash(createPrompt("deadly", body), number);
    }
    expect(await crash(createPrompt("deadly", body), 3) !== undefined)
      .toEqual(true);
    expect(await answer(createPrompt("sound", body), 4)).toEqual(undefined);
  }
});

// Guards against sound requests with a constant body that are held because one
// of them, or one that looks like them, is on replicas that end.
test("sound requests with a constant body are not held for crashes", async () => {
  const { crash, answer } = runPrompts();
  // Not one of them has been answered yet.
  expect(await crash(createPrompt("deadly", "{}"), 0)).toEqual(undefined);
  for (const number of [1, 2, 3, 4]) {
    const sound = createPrompt(`sound${number}`, "{}");
    expect(await answer(sound, number)).toEqual(undefined);
    await crash(createPrompt("deadly", "{}"), number);
  }
  expect(await answer(createPrompt("sound", "{}"), 5)).toEqual(undefined);
});

// Guards against a replica that ends with no request on it and counts for nothing
// (its part was never refused), and against closes that count although the
// replica lives or was about to leave.
test("a replica that closes idle connections counts once it has ended", async () => {
  const kinds = ["refused", "restarted", "alive", "leaving"] as const;
  for (const kind of kinds) {
    const { clock, replicas, guard, crashes, entryOf, ...setup } =
      createSetup();
    const entry = { ...entryOf(0), address: "own:80" };
    replicas.put(entry);
    const admission = guard.admit(createRequest("deadly"), entry);
    if (admission.kind === "refused") throw new Error(admission.reason);
    admission.attempt.recordEnd(ANSWERED, false);
    setup.setDown(kind === "refused");
    if (kind === "leaving") replicas.put({ ...entry, state: "leaving" });
    guard.recordDisconnect("own:80");
    await clock.advance(GAP);
    if (kind === "restarted") replicas.put({ ...entry, born: 6 });
    await clock.advance(2 * GAP);
    const isEnd = kind === "refused" || kind === "restarted";
    expect(crashes.hasRecord(incarnationKey(entry))).toEqual(isEnd);
    const lines = setup.logged.filter(([name]) => name === "replica_ended");
    expect(lines.length).toEqual(isEnd ? 1 : 0);
  }
});
