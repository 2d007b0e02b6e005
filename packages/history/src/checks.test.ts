/**
 * Feeds each check histories that violate its rule and histories that do not.
 */
import { expect } from "earl";
import { test } from "node:test";
import {
  checkCompletions,
  checkConfiguration,
  checkIsolation,
  checkLeaving,
  checkOrders,
  checkShutdown,
} from "./checks/mod.ts";
import { listExpectedAnswers } from "./checks/expected.ts";
import { joinHistory, parseHistory, type Violation } from "./history.ts";
import type {
  CallResponse,
  ChatOperation,
  Entry,
  FaultName,
  Operation,
  OrderOperation,
  Outcome,
  ServiceCall,
  Setup,
} from "./records.ts";

const SETUP: Setup = {
  kind: "setup",
  tokensPerBlock: 64,
  weights: ["advice-1"],
};
const CHAT: ChatOperation = {
  type: "chat",
  daemon: "d1",
  customer: "amber",
  prompt: "Chest 62 cm [[tokens=5]]",
  maxTokens: 16,
  streamed: true,
  conversation: "c",
};
const TOKENS = listExpectedAnswers(CHAT, SETUP)[0] ?? [];
const ORDER: OrderOperation = {
  type: "order",
  daemon: "d1",
  customer: "amber",
  key: "k1",
  body: "rain",
};
const RAN: ServiceCall = {
  number: 1,
  path: "/orders",
  customer: "amber",
  idempotencyKey: "k1",
  request: "r1",
  body: "rain",
};
const SUCCESS: CallResponse = {
  type: "answered",
  status: 201,
  request: "r1",
  text: '{"order":1}',
  done: true,
  ran: null,
  code: null,
};
const REFUSED: CallResponse = {
  ...SUCCESS,
  status: 503,
  text: "",
  ran: "no",
  code: "platform_unavailable",
};

let lastId = 0;

function call(
  operation: Operation,
  outcome: Outcome,
  [start, end]: readonly [number, number] = [10, 20],
): readonly Entry[] {
  lastId += 1;
  const id = lastId;
  return [
    { kind: "invoked", id, at: start, operation },
    { kind: "completed", id, at: end, outcome },
  ];
}

function fault(
  name: FaultName,
  target: string,
  [begin, end]: readonly [number, number],
): readonly Entry[] {
  lastId += 1;
  const common = {
    kind: "fault",
    id: lastId,
    fault: name,
    target,
    detail: "",
  } as const;
  return [
    { ...common, phase: "begin", at: begin },
    { ...common, phase: "end", at: end },
  ];
}

function ran(...calls: readonly ServiceCall[]): Entry {
  return { kind: "service record", process: "bookings-1", calls };
}

function observed(daemon: string, version: number, at: number): Entry {
  return {
    kind: "observed",
    daemon,
    sent: at,
    received: at + 1,
    incarnation: `${daemon}/1`,
    version,
    change: `c${version}`,
    marker: 1_000 + version,
  };
}

function accepted(
  version: number,
  { at = 20, change = `c${version}`, expect = version - 1 } = {},
): readonly Entry[] {
  return call(
    { type: "change", daemon: "d1", change, expect, marker: 1_000 + version },
    { type: "changed", result: "accepted", version },
    [at - 1, at],
  );
}

function findBrokenRules(
  check: (history: ReturnType<typeof joinHistory>) => readonly Violation[],
  ...entries: readonly (Entry | readonly Entry[])[]
): readonly string[] {
  return check(joinHistory([SETUP, ...entries.flat() as Entry[]]))
    .map(({ rule }) => rule);
}

test("orders that ran once and were answered pass", () => {
  const found = findBrokenRules(checkOrders, call(ORDER, SUCCESS), ran(RAN));
  expect(found).toEqual([]);
});

test("an order that ran twice is reported", () => {
  const again = { ...RAN, number: 2, request: "r2" };
  const found = findBrokenRules(
    checkOrders,
    call(ORDER, SUCCESS),
    ran(RAN, again),
  );
  expect(found).toEqual(["an order runs at most once"]);
});

test("an order that ran at two processes of the service is reported", () => {
  const other: Entry = {
    kind: "service record",
    process: "bookings-2",
    calls: [RAN],
  };
  const found = findBrokenRules(
    checkOrders,
    call(ORDER, SUCCESS),
    ran(RAN),
    other,
  );
  expect(found).toEqual(["an order runs at most once"]);
});

test("the answer of another order is reported", () => {
  const other = { ...RAN, number: 7, idempotencyKey: "k2", body: "snow" };
  const answer = { ...SUCCESS, text: '{"order":7}' };
  const found = findBrokenRules(
    checkOrders,
    call(ORDER, answer),
    ran(RAN, other),
  );
  expect(found).toEqual(["a caller gets the answer of its own order"]);
});

test("the answer of a call with another body under the key is reported", () => {
  const other = { ...ORDER, body: "snow" };
  const found = findBrokenRules(checkOrders, call(other, SUCCESS), ran(RAN));
  expect(found).toEqual(["a caller gets the answer of its own order"]);
});

test("a success without a run is reported", () => {
  const found = findBrokenRules(checkOrders, call(ORDER, SUCCESS), ran());
  expect(found).toEqual(["an order that was answered with success ran"]);
});

test("a refusal as not run of a request that ran is reported", () => {
  const rule = 'a refusal with ran: "no" is true';
  const found = findBrokenRules(checkOrders, call(ORDER, REFUSED), ran(RAN));
  expect(found).toEqual([rule, rule]);
});

test("a run after every attempt was refused as not run is reported", () => {
  const late = { ...RAN, request: "r9" };
  const found = findBrokenRules(checkOrders, call(ORDER, REFUSED), ran(late));
  expect(found).toEqual(['a refusal with ran: "no" is true']);
});

test("a refusal as not run passes when another attempt ran", () => {
  const found = findBrokenRules(
    checkOrders,
    call(ORDER, { ...REFUSED, request: "r2" }),
    call(ORDER, SUCCESS),
    ran(RAN),
  );
  expect(found).toEqual([]);
});

test('a refusal with ran: "yes" of an order that never ran is reported', () => {
  const finished = { ...REFUSED, ran: "yes", code: "order_finished" };
  const found = findBrokenRules(checkOrders, call(ORDER, finished), ran());
  expect(found).toEqual(['a refusal with ran: "yes" is true']);
});

function completion(text: string, done = true): readonly Entry[] {
  return call(CHAT, { ...SUCCESS, status: 200, text, done });
}

test("a whole completion and a cut beginning pass", () => {
  const cut: Outcome = {
    type: "broken",
    stage: "in the answer",
    request: "r1",
    text: TOKENS.slice(0, 2).join(""),
    reason: "",
  };
  const whole = completion(TOKENS.join(""));
  expect(findBrokenRules(checkCompletions, whole, call(CHAT, cut))).toEqual([]);
});

test("repeated, skipped and foreign tokens are reported", () => {
  const [first = "", second = "", third = ""] = TOKENS;
  const rule = "a completion has the tokens of its own answer in order";
  for (
    const text of [
      first + first + second,
      first + third,
      `${first}crossed `,
      `${first.slice(0, 3)}`,
      `${TOKENS.join("")}more `,
    ]
  ) {
    expect(findBrokenRules(checkCompletions, completion(text))).toEqual([rule]);
    expect(findBrokenRules(checkCompletions, completion(text, false))).toEqual([
      rule,
    ]);
  }
});

test("a stream with [DONE] that is not whole is reported", () => {
  const found = findBrokenRules(checkCompletions, completion(TOKENS[0] ?? ""));
  expect(found).toEqual(["a completion that ends as complete is whole"]);
});

test("an empty completion is reported", () => {
  const found = findBrokenRules(checkCompletions, completion(""));
  expect(found).toEqual(["a completion that ends as complete is whole"]);
});

test("the answer to another look-up is reported", () => {
  const lookUp = {
    type: "look-up",
    daemon: "d1",
    customer: "amber",
    item: "coat-1",
  } as const;
  const text = '{"item":"coat-2","stock":6}';
  const found = findBrokenRules(
    checkCompletions,
    call(lookUp, { ...SUCCESS, status: 200, text }),
  );
  expect(found).toEqual(["a look-up gets its own answer"]);
});

test("the completion of another customer is reported", () => {
  const other = { ...CHAT, customer: "basil" };
  const text = listExpectedAnswers(other, SETUP)[0]?.join("") ?? "";
  const found = findBrokenRules(
    checkIsolation,
    completion(text),
    call(other, { ...SUCCESS, status: 200, text }),
  );
  expect(found).toEqual(["a customer sees only its own answers"]);
});

test("the order number of another customer is reported", () => {
  const found = findBrokenRules(
    checkIsolation,
    call({ ...ORDER, customer: "basil", body: "snow" }, SUCCESS),
    ran(RAN),
  );
  expect(found).toEqual(["a customer sees only its own order numbers"]);
});

test("an order that runs for a forged customer is reported", () => {
  const found = findBrokenRules(
    checkIsolation,
    call({ ...ORDER, customer: "basil", body: "snow" }, REFUSED),
    ran({ ...RAN, body: "snow" }),
  );
  expect(found).toEqual(["an order runs for the customer who sent it"]);
});

test("an attempt at a leaving engine is reported after 3 s", () => {
  const attempts = (at: number): Entry => ({
    kind: "engine record",
    process: "e1",
    attempts: [{ attempt: "a", request: "r", at }],
  });
  const leaving = fault("engine leaving", "e1", [1_000, 9_000]);
  const check = (at: number) =>
    findBrokenRules(checkLeaving, leaving, attempts(at));
  expect(check(4_000)).toEqual([]);
  expect(check(4_001)).toEqual([
    "a leaving upstream gets no new work after 3 s",
  ]);
  // The engine has restarted at the same address.
  expect(check(9_500)).toEqual([]);
});

test("a request that a planned stop cuts off is reported", () => {
  const stop = fault("daemon stopped", "d1", [15, 90]);
  const rule = "a planned stop cuts off no request";
  const broken = (stage: "not connected" | "in the answer"): Outcome => ({
    type: "broken",
    stage,
    request: null,
    text: "",
    reason: "",
  });
  const check = (outcome: Outcome) =>
    findBrokenRules(checkShutdown, stop, call(CHAT, outcome));
  expect(check(broken("in the answer"))).toEqual([rule]);
  expect(check({ ...SUCCESS, status: 200, done: false })).toEqual([rule]);
  expect(check(broken("not connected"))).toEqual([]);
  expect(check({ ...SUCCESS, status: 200 })).toEqual([]);
  const killed = fault("daemon killed", "d1", [16, 30]);
  const other = call(CHAT, broken("in the answer"));
  expect(findBrokenRules(checkShutdown, stop, killed, other)).toEqual([]);
});

test("a version that falls at a daemon is reported", () => {
  const found = findBrokenRules(
    checkConfiguration,
    observed("d1", 2, 100),
    observed("d1", 1, 200),
    observed("d1", 2, 300),
  );
  expect(found).toEqual(["versions at a daemon never fall"]);
});

test("a version that falls over a restart is reported when a peer had it", () => {
  const restart = fault("daemon killed", "d1", [150, 180]);
  const outage = fault("platform fault", "platform", [140, 400]);
  const after = { ...observed("d1", 0, 200), incarnation: "d1/2" } as Entry;
  const rule = "versions at a daemon never fall";
  const check = (...entries: readonly (Entry | readonly Entry[])[]) =>
    findBrokenRules(
      checkConfiguration,
      observed("d1", 2, 100),
      after,
      ...entries,
    );
  // The platform was reachable.
  expect(check(restart)).toEqual([rule]);
  // Only a peer had the version.
  const peer = observed("d2", 2, 90);
  expect(check(restart, outage, peer)).toEqual([rule]);
  // Neither the platform nor a peer could provide the version.
  expect(check(restart, outage)).toEqual([]);
  // The peer was killed as well.
  const death = fault("daemon killed", "d2", [145, 190]);
  expect(check(restart, outage, peer, death)).toEqual([]);
});

test("two winners of a race are reported", () => {
  const found = findBrokenRules(
    checkConfiguration,
    accepted(1),
    accepted(2, { expect: 0 }),
  );
  expect(found).toEqual([
    "operators who raced from one version never both win",
  ]);
});

test("two contents of a version are reported", () => {
  const other = { ...observed("d2", 1, 30), change: "x" } as Entry;
  const found = findBrokenRules(checkConfiguration, accepted(1), other);
  expect(found).toEqual(["a version has one content"]);
});

test("an accepted change that the history lost is reported", () => {
  const record: Entry = {
    kind: "configuration record",
    entries: [{ version: 1, change: "other" }],
  };
  const found = findBrokenRules(checkConfiguration, accepted(1), record);
  expect(found).toEqual(["an accepted change stays in the history"]);
});

test("a version that is not in force after 5 s is reported", () => {
  const rule = "an accepted configuration is in force everywhere within 5 s";
  const check = (...entries: readonly (Entry | readonly Entry[])[]) =>
    findBrokenRules(checkConfiguration, accepted(1, { at: 1_000 }), ...entries);
  expect(check(observed("d2", 0, 6_000))).toEqual([]);
  expect(check(observed("d2", 0, 6_001))).toEqual([rule]);
  // The target time of a paused daemon starts when it resumes.
  const pause = fault("daemon paused", "d2", [2_000, 4_000]);
  expect(check(pause, observed("d2", 0, 8_900))).toEqual([]);
  expect(check(pause, observed("d2", 0, 9_100))).toEqual([rule]);
  // No source was reachable during the outage.
  const outage = fault("platform fault", "platform", [900, 20_000]);
  expect(check(outage, observed("d2", 0, 9_000))).toEqual([]);
  // A peer had the version during the outage.
  const peer = observed("d1", 1, 2_000);
  expect(check(outage, peer, observed("d2", 0, 7_100))).toEqual([rule]);
});

test("a history survives JSON lines", () => {
  const entries = [SETUP, ...call(ORDER, SUCCESS), ran(RAN)];
  const text = entries.map((entry) => JSON.stringify(entry)).join("\n");
  expect(parseHistory(text)).toEqual(entries);
});
