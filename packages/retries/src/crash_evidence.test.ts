/**
 * Which parts are condemned by which crashes, how daemons tell each other, and
 * the bounds of memory and news.
 */
import { createManualClock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  type Audience,
  type CrashEvidence,
  type CrashNews,
  createCrashEvidence,
  DETAIL_EXPIRY,
  INITIAL_HOLD,
  MAX_HOLD,
  MAX_STRIKES,
  PROOF_VALIDITY,
  RECORD_EXPIRY,
  TELL_DELAY,
  type Verdict,
} from "./crash_evidence.ts";

const DEADLY = "deadly";
const POPULAR = "popular";

/** Time between two crashes; more than the crashes of one outage have. */
const GAP: Milliseconds = 400;

const LIMIT = 900;

function createDaemon(clock = createManualClock()) {
  const condemned: Verdict[] = [];
  const lifted: string[] = [];
  const evidence = createCrashEvidence({
    clock,
    onCondemned: (verdict) => condemned.push(verdict),
    onLifted: (part) => lifted.push(part),
  });
  let crashed = 0;

  /** Each crash ends another replica, as its requests are sent elsewhere. */
  async function crash(...parts: readonly string[]): Promise<void> {
    crashed += 1;
    evidence.recordLoss({ replica: `r${crashed}`, suspects: parts });
    await clock.advance(GAP);
  }

  return { clock, evidence, condemned, lifted, crash };
}

function isCondemned(evidence: CrashEvidence, part: string): boolean {
  return evidence.check([part]) !== undefined;
}

/** Sends a daemon's news to others, as one round of heartbeats does. */
function tell(
  from: CrashEvidence,
  others: readonly CrashEvidence[],
  audience: Audience = "neighbors",
): boolean {
  const news = from.compose(LIMIT, audience);
  if (news === undefined) return false;
  for (const other of others) other.apply(JSON.parse(JSON.stringify(news)));
  return true;
}

// Guards against a part that crashes one replica after the other without end.
test("a part is condemned after its third crash", async () => {
  const { evidence, condemned, crash } = createDaemon();
  await crash(POPULAR, DEADLY, "a");
  await crash(POPULAR, DEADLY, "b");
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
  evidence.recordSuccess([POPULAR]);
  await crash(POPULAR, DEADLY, "c");
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  expect(condemned.map(({ suspect }) => suspect)).toEqual([DEADLY]);
  const refused = evidence.check([POPULAR, DEADLY, "new"]);
  expect(refused?.suspect).toEqual(DEADLY);
  expect((refused?.remaining ?? 0) > INITIAL_HOLD / 2).toEqual(true);
});

// Guards against refusals of sound requests that share all parts but one with
// the crashing ones, at a rate of answers far below that of the crashes.
test("a sound part beside the crashing one is not condemned", async () => {
  const { clock, evidence, condemned, crash } = createDaemon();
  evidence.recordSuccess([POPULAR, "customer's"]);
  await clock.advance(3 * PROOF_VALIDITY);
  for (const conversation of ["a", "b", "c", "d", "e"]) {
    await crash(POPULAR, "customer's", DEADLY, conversation);
  }
  expect(condemned.map(({ suspect }) => suspect)).toEqual([DEADLY]);
  expect(evidence.check([POPULAR, "customer's", "f"])).toEqual(undefined);
});

// Guards against a part that is never condemned because answers on it began
// before it turned bad, or because its first request was repeated by its caller
// and so a conversation's own part stands in all early crashes.
test("a part that was sound before is condemned once crashes differ in the rest", async () => {
  const { clock, evidence, crash } = createDaemon();
  evidence.recordSuccess([POPULAR, DEADLY]);
  await clock.advance(2 * PROOF_VALIDITY);
  for (let round = 0; round < 3; round += 1) {
    evidence.recordSuccess([POPULAR]);
    await crash(POPULAR, DEADLY, "a");
  }
  expect(isCondemned(evidence, "a")).toEqual(true);
  await crash(POPULAR, DEADLY, "b");
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  expect(isCondemned(evidence, POPULAR)).toEqual(false);
});

// Guards against verdicts on parts of requests that were on a crashing replica
// by chance.
test("parts of other requests on a crashed replica stay sound", async () => {
  const { evidence, condemned, crash } = createDaemon();
  for (let round = 0; round < 4; round += 1) {
    await crash(POPULAR, DEADLY, `a${round}`, "other", `b${round}`);
    evidence.recordSuccess([POPULAR, "other"]);
  }
  expect(condemned.map(({ suspect }) => suspect)).toEqual([DEADLY]);
});

// Guards against verdicts because of connections that were reset under a live
// replica.
test("a reset of connections is no crash when data follows", async () => {
  const { clock, evidence, crash } = createDaemon();
  for (const replica of ["x", "y", "z"]) {
    evidence.recordLoss({ replica, suspects: [DEADLY] });
    await clock.advance(GAP);
    evidence.recordReceived(replica);
    expect(evidence.hasRecord(replica)).toEqual(false);
  }
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
  await crash(DEADLY);
  await crash(DEADLY);
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
});

// Guards against a report by a peer that revives evidence voided here, and
// against a void record that hides the crash of the same replica right after.
test("a void record stays void, and a later crash of the replica counts", async () => {
  const { clock, evidence } = createDaemon();
  const loss = { replica: "x", suspects: [DEADLY] };
  evidence.recordLoss(loss);
  await clock.advance(GAP);
  evidence.recordReceived("x");
  evidence.apply({ verdicts: [], records: [["x", GAP, ["p"]]], proofs: [] });
  expect(evidence.hasRecord("x")).toEqual(false);
  await clock.advance(GAP);
  evidence.recordLoss(loss);
  expect(evidence.hasRecord("x")).toEqual(true);
});

// Guards against one live replica that condemns the parts of its requests alone,
// because its connections are reset some seconds apart; also when news of these
// losses arrive in another order.
test("losses of one incarnation count as at most one crash", async () => {
  const clock = createManualClock();
  const [one, other] = [createDaemon(clock), createDaemon(clock)];
  const ages: Milliseconds[] = [0, 1_600, 3_200, 4_800, 6_400];
  const records = ages.map((age) => ["x", age, [DEADLY]] as const);
  for (const record of [records[3], records[0], records[1], records[4]]) {
    if (record === undefined) continue;
    other.evidence.apply({ verdicts: [], records: [record], proofs: [] });
  }
  for (const _age of ages) {
    one.evidence.recordLoss({ replica: "x", suspects: [DEADLY] });
    await clock.advance(1_600);
  }
  for (const { evidence, condemned, crash } of [one, other]) {
    expect(evidence.hasRecord("x")).toEqual(true);
    expect(evidence.isSuspect([DEADLY])).toEqual(false);
    expect(isCondemned(evidence, DEADLY)).toEqual(false);
    await crash(DEADLY);
    expect(isCondemned(evidence, DEADLY)).toEqual(false);
    await crash(DEADLY);
    expect(condemned.map(({ crashes }) => crashes)).toEqual([3]);
  }
});

// Guards against a crash that is taken for a reset: data that the replica sent
// before its end is processed just after it, or the replica is back.
test("data from before the crash or after the restart voids nothing", async () => {
  const { clock, evidence } = createDaemon();
  evidence.recordLoss({ replica: "x", suspects: [DEADLY] });
  await clock.advance(20);
  evidence.recordReceived("x");
  await clock.advance(2_000);
  evidence.recordReceived("x");
  expect(evidence.hasRecord("x")).toEqual(true);
});

// Guards against verdicts on all parts in use when many replicas fail at once.
test("an outage of many replicas counts as one crash", async () => {
  const { clock, evidence, condemned } = createDaemon();
  for (let replica = 0; replica < 20; replica += 1) {
    evidence.recordLoss({
      replica: `r${replica}`,
      suspects: [POPULAR, "other"],
    });
    await clock.advance(3);
  }
  await clock.advance(2 * PROOF_VALIDITY);
  expect(evidence.check([POPULAR, "other"])).toEqual(undefined);
  expect(condemned).toEqual([]);
});

// Guards against a part that crashes several replicas each time: its groups would
// count as few crashes as single ones do (review/11 in one of two plays).
test("five crashes at two times condemn a part, four do not", async () => {
  for (const second of [1, 2]) {
    const { clock, evidence } = createDaemon();
    for (const [time, count] of [3, second].entries()) {
      for (let replica = 0; replica < count; replica += 1) {
        const suspects = [DEADLY, `own${time}${replica}`];
        evidence.recordLoss({ replica: `r${time}${replica}`, suspects });
        await clock.advance(10);
      }
      await clock.advance(16_000);
    }
    expect(isCondemned(evidence, DEADLY)).toEqual(second === 2);
  }
});

// Guards against verdicts on parts in use when replicas fail one after the other
// within a short time, however long no answers begin afterwards, and against a
// deadly part that is never condemned because it was sound just before. Answers
// on other parts show that the service is alive.
test("a part that was sound just before its crashes takes five of them", async () => {
  const { clock, evidence, crash } = createDaemon();
  evidence.recordSuccess([DEADLY]);
  await clock.advance(1);
  for (let round = 0; round < 4; round += 1) {
    await crash(DEADLY);
    evidence.recordSuccess(["other"]);
  }
  await clock.advance(2 * PROOF_VALIDITY);
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
  await crash(DEADLY);
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
});

// Guards against refusals of conversations that were on replicas in each of
// several outages (seen with 33 crashes in 12 s, 43 sound requests refused).
test("a part of few of the crashes of its time is not condemned", async () => {
  const { clock, evidence, condemned } = createDaemon();
  for (let wave = 0; wave < 4; wave += 1) {
    for (let replica = 0; replica < 6; replica += 1) {
      const part = replica === 0 ? "unlucky" : `other${wave}-${replica}`;
      evidence.recordLoss({ replica: `r${wave}-${replica}`, suspects: [part] });
      await clock.advance(30);
    }
    await clock.advance(2 * PROOF_VALIDITY);
  }
  expect(evidence.check(["unlucky"])).toEqual(undefined);
  expect(evidence.isSuspect(["unlucky"])).toEqual(false);
  expect(condemned).toEqual([]);
});

// Guards against a request that is repeated on one replica after the other, and
// against sound requests that lose their repetition beside it.
test("after two crashes only requests with the likely part are suspect", async () => {
  const { evidence, crash } = createDaemon();
  evidence.recordSuccess([POPULAR]);
  await crash(POPULAR, DEADLY);
  expect(evidence.isSuspect([POPULAR, DEADLY])).toEqual(false);
  await crash(POPULAR, DEADLY);
  expect(evidence.isSuspect([POPULAR, DEADLY])).toEqual(true);
  expect(evidence.isSuspect([POPULAR, "other"])).toEqual(false);
});

/** Counts the look-ups in sets during a task, as a measure of its work. */
function countLookups(task: () => void): number {
  const { has } = Set.prototype;
  let count = 0;
  Set.prototype.has = function (value) {
    count += 1;
    return has.call(this, value);
  };
  try {
    task();
  } finally {
    Set.prototype.has = has;
  }
  return count;
}

// Guards against a queue pass that blocks the daemon after crashes: 300 checks
// against 32 records of 40 parts took 37 ms.
test("a check looks verdicts up, and proofs are evaluated at intervals", async () => {
  const { clock, evidence } = createDaemon();
  const parts = Array.from({ length: 40 }, (_, number) => `p${number}`);
  evidence.recordSuccess(parts);
  await clock.advance(PROOF_VALIDITY);
  for (let crash = 0; crash < 32; crash += 1) {
    evidence.recordLoss({ replica: `r${crash}`, suspects: [...parts, DEADLY] });
    await clock.advance(120);
  }
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  const check = () => void evidence.check(parts);
  check();
  expect(countLookups(check)).toEqual(0);
  evidence.recordSuccess([parts[0] ?? ""]);
  expect(countLookups(check) > 0).toEqual(true);
  evidence.recordSuccess([parts[1] ?? ""]);
  expect(countLookups(check)).toEqual(0);
  await clock.advance(100);
  expect(countLookups(check) > 0).toEqual(true);
  expect(countLookups(check)).toEqual(0);
});

// Guards against a wrong verdict that lasts although a replica answers.
test("an answer that begins lifts a verdict, also when a peer reports it", async () => {
  const clock = createManualClock();
  const [one, other] = [createDaemon(clock), createDaemon(clock)];
  for (let round = 0; round < 3; round += 1) await one.crash("wrong");
  tell(one.evidence, [other.evidence]);
  expect(isCondemned(other.evidence, "wrong")).toEqual(true);
  one.evidence.recordSuccess(["wrong"]);
  expect(isCondemned(one.evidence, "wrong")).toEqual(false);
  tell(one.evidence, [other.evidence]);
  expect(isCondemned(other.evidence, "wrong")).toEqual(false);
  expect([one.lifted, other.lifted]).toEqual([["wrong"], ["wrong"]]);
});

// Guards against a verdict that a delayed heartbeat lifts, with the proof of a
// part that was sound just before its first crash (seen three times in a run).
test("a proof from just before the crashes that arrives late lifts nothing", async () => {
  const { clock, evidence, lifted, crash } = createDaemon();
  const first = clock.monotonic();
  for (let round = 0; round < 3; round += 1) await crash(DEADLY);
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
  const age = clock.monotonic() - first;
  const late: CrashNews["proofs"] = [[DEADLY, age - 50]];
  evidence.apply({ verdicts: [], records: [], proofs: late });
  expect(lifted).toEqual([]);
  expect(isCondemned(evidence, DEADLY)).toEqual(true);
});

// Guards against a daemon that started a moment ago, knows no answers and has
// its peers refuse a sound part.
test("a verdict is rejected and lifted by proofs from before the crashes", async () => {
  const clock = createManualClock();
  const [fresh, old] = [createDaemon(clock), createDaemon(clock)];
  old.evidence.recordSuccess([POPULAR]);
  await clock.advance(2 * PROOF_VALIDITY);
  for (let round = 0; round < 3; round += 1) {
    await fresh.crash(POPULAR, DEADLY);
  }
  expect(fresh.condemned.map(({ suspect }) => suspect))
    .toEqual([POPULAR, DEADLY]);
  expect(fresh.evidence.check([POPULAR, DEADLY]) !== undefined).toEqual(true);
  tell(fresh.evidence, [old.evidence]);
  expect(isCondemned(old.evidence, DEADLY)).toEqual(true);
  expect(isCondemned(old.evidence, POPULAR)).toEqual(false);
  tell(old.evidence, [fresh.evidence]);
  expect(isCondemned(fresh.evidence, POPULAR)).toEqual(false);
  expect(isCondemned(fresh.evidence, DEADLY)).toEqual(true);
});

// Guards against many trials at once after a verdict, and against a part that
// crashes replicas as often as at first after each verdict.
test("after a verdict one request is tried, and a crash doubles the hold", async () => {
  const { clock, evidence, condemned, crash } = createDaemon();
  for (let round = 0; round < 3; round += 1) await crash(DEADLY);
  await clock.advance(evidence.check([DEADLY])?.remaining ?? 0);
  const trial = evidence.admit([DEADLY]);
  expect(trial.kind).toEqual("admitted");
  expect(evidence.admit([DEADLY]).kind).toEqual("condemned");
  if (trial.kind === "admitted") trial.end();
  expect(evidence.admit([DEADLY]).kind).toEqual("admitted");
  await crash(DEADLY);
  expect(condemned.map(({ strikes, hold }) => [strikes, hold])).toEqual([
    [1, INITIAL_HOLD],
    [2, 2 * INITIAL_HOLD],
  ]);
  const { remaining = 0 } = evidence.check([DEADLY]) ?? {};
  expect(remaining > INITIAL_HOLD).toEqual(true);
});

// Guards against a count of renewals that peers reject: after 64 renewals they
// rejected each whole digest of the daemon.
test("strikes stop where the hold reaches its maximum, also those of peers", async () => {
  const { clock, evidence, condemned, crash } = createDaemon();
  for (let round = 0; round < 3; round += 1) await crash(DEADLY);
  for (let round = 0; round < 70; round += 1) {
    await clock.advance(evidence.check([DEADLY])?.remaining ?? 0);
    await crash(DEADLY);
  }
  expect(condemned.length).toEqual(71);
  expect(condemned.at(-1)?.strikes).toEqual(MAX_STRIKES);
  expect(condemned.at(-1)?.hold).toEqual(MAX_HOLD);
  const first = condemned.find(({ hold }) => hold === MAX_HOLD);
  expect(first?.strikes).toEqual(MAX_STRIKES);
  const other = createDaemon(clock);
  const verdicts = [[DEADLY, 0, MAX_HOLD, 64] as const];
  other.evidence.apply({ verdicts, records: [], proofs: [] });
  expect(other.condemned[0]?.strikes).toEqual(MAX_STRIKES);
});

for (const isFirst of [true, false]) {
  // Guards against a sound part that is refused longer each time that its trial
  // runs on a replica that another part ends, in both orders of their losses.
  test(`a trial is not failed by another part, recorded ${isFirst ? "before" : "after"} it`, async () => {
    const { clock, evidence, condemned, crash } = createDaemon();
    for (let round = 0; round < 3; round += 1) await crash("sound");
    await clock.advance(evidence.check(["sound"])?.remaining ?? 0);
    const trial = evidence.admit(["sound"]);
    await crash(DEADLY);
    await crash(DEADLY);
    const parts = isFirst ? [DEADLY, "sound"] : ["sound", DEADLY];
    for (const part of parts) {
      evidence.recordLoss({ replica: "shared", suspects: [part] });
    }
    if (trial.kind === "admitted") trial.end();
    expect(evidence.check(["sound"])).toEqual(undefined);
    expect(isCondemned(evidence, DEADLY)).toEqual(true);
    // A crash that nothing else explains renews the verdict.
    await clock.advance(DETAIL_EXPIRY);
    await crash("sound");
    expect(isCondemned(evidence, "sound")).toEqual(true);
    expect(condemned.at(-1)?.strikes).toEqual(2);
  });
}

// Guards against crashes of requests in flight that lengthen a new verdict.
test("a crash during a verdict does not renew it", async () => {
  const { condemned, crash } = createDaemon();
  for (let round = 0; round < 6; round += 1) await crash(DEADLY);
  expect(condemned.length).toEqual(1);
});

// Guards against crashes of many hours that add up to a verdict.
test("old crashes do not count", async () => {
  const { clock, evidence, crash } = createDaemon();
  for (let round = 0; round < 6; round += 1) {
    await crash(DEADLY);
    await clock.advance(RECORD_EXPIRY / 2);
  }
  expect(isCondemned(evidence, DEADLY)).toEqual(false);
});

// Guards against a report of a reset connection as a crash.
test("a daemon tells of a crash only after data could have voided it", async () => {
  const { clock, evidence } = createDaemon();
  evidence.recordLoss({ replica: "x", suspects: [DEADLY] });
  expect(evidence.compose(LIMIT, "neighbors")).toEqual(undefined);
  await clock.advance(TELL_DELAY);
  const news = evidence.compose(LIMIT, "neighbors");
  expect(news?.records).toEqual([["x", TELL_DELAY, [DEADLY]]]);
});

// Guards against a crash that only the daemon learns that saw it, and against
// news that circulate without end.
test("crashes at different daemons add up, and the news end", async () => {
  const clock = createManualClock();
  const daemons = Array.from({ length: 5 }, () => createDaemon(clock));
  const all = daemons.map(({ evidence }) => evidence);
  for (const [index, { evidence }] of daemons.slice(0, 3).entries()) {
    evidence.recordLoss({ replica: `r${index}`, suspects: [POPULAR, DEADLY] });
    await clock.advance(GAP);
  }
  all.at(-1)?.recordSuccess([POPULAR]);
  for (let round = 0; round < 3; round += 1) {
    for (const evidence of all) tell(evidence, all);
    await clock.advance(GAP);
  }
  expect(all.map((evidence) => isCondemned(evidence, DEADLY)))
    .toEqual(all.map(() => true));
  expect(all.map((evidence) => isCondemned(evidence, POPULAR)))
    .toEqual(all.map(() => false));
  let rounds = 0;
  while (all.map((one) => tell(one, all)).some(Boolean) && rounds < 1_000) {
    rounds += 1;
    await clock.advance(GAP);
  }
  // The verdict is told while it holds, and nothing after it.
  expect(rounds * GAP <= INITIAL_HOLD).toEqual(true);
});

// Guards against callers that fill the memory of daemons, or their datagrams,
// with parts that they invent.
test("memory and news are bounded whatever parts callers invent", async () => {
  const { clock, evidence } = createDaemon();
  const long = "l".repeat(10_000);
  for (let crash = 0; crash < 200; crash += 1) {
    const parts = Array.from({ length: 200 }, (_, n) => `${crash}-${n}`);
    evidence.recordLoss({ replica: `r${crash}`, suspects: [...parts, long] });
    evidence.recordSuccess([`ok-${crash}`, long]);
    await clock.advance(120);
  }
  await clock.advance(TELL_DELAY);
  const news = evidence.compose(Infinity, "neighbors");
  expect(news?.records.length).toEqual(32);
  expect(news?.records.every(([, , parts]) => parts.length <= 64))
    .toEqual(true);
  expect(JSON.stringify(news).includes(long)).toEqual(false);
  for (const limit of [0, 40, 100, 500, 1_100]) {
    const limited = evidence.compose(limit, "zones");
    const size = limited === undefined ? 0 : measureWire(limited);
    expect(size <= limit).toEqual(true);
  }
});

function measureWire({ verdicts, records, proofs }: CrashNews): number {
  return JSON.stringify([verdicts, records, proofs]).length;
}

// Guards against a deadly part that does not fit into a record or a datagram,
// because a replica crashed under many requests.
test("parts of several crashes go first when there are too many", async () => {
  const { evidence, clock } = createDaemon();
  for (let crash = 0; crash < 3; crash += 1) {
    for (let request = 0; request < 30; request += 1) {
      evidence.recordLoss({
        replica: `r${crash}`,
        suspects: [`a${crash}-${request}`, `b${crash}-${request}`],
      });
    }
    evidence.recordLoss({ replica: `r${crash}`, suspects: [POPULAR, DEADLY] });
    await clock.advance(GAP);
  }
  expect(evidence.check([POPULAR, DEADLY]) !== undefined).toEqual(true);
  const news = evidence.compose(300, "zones");
  expect(news?.verdicts.map(([part]) => part).includes(DEADLY)).toEqual(true);
  for (const [, , parts] of news?.records ?? []) {
    expect(parts.includes(DEADLY)).toEqual(true);
  }
});

// Guards against daemons that come to different verdicts because datagrams
// arrive twice or in another order.
test("merging news is idempotent and does not depend on their order", () => {
  const part = fc.constantFrom("a", "b", "c", "d");
  const news: fc.Arbitrary<CrashNews> = fc.record({
    verdicts: fc.array(
      fc.tuple(
        part,
        // Times of different verdicts differ by more than datagrams take.
        fc.integer({ min: 0, max: 20 }).map((seconds) => seconds * 1_000),
        fc.integer({ min: 1, max: 30 }).map((seconds) => seconds * 1_000),
        fc.integer({ min: 2, max: 3 }),
      ),
      { maxLength: 1 },
    ),
    records: fc.array(
      fc.tuple(
        // Each replica crashes once, at a time that all daemons agree on.
        fc.constantFrom("100", "900", "1700", "9000"),
        fc.constant(0),
        fc.array(part, { maxLength: 3 }),
      ).map(([at, , parts]) => [`r${at}`, Number(at), parts] as const),
      { maxLength: 3 },
    ),
    proofs: fc.array(
      fc.tuple(part, fc.integer({ min: 0, max: 20_000 })),
      { maxLength: 3 },
    ),
  });
  const conclusions = (order: readonly CrashNews[]) => {
    const { evidence } = createDaemon(createManualClock(0));
    for (const one of order) evidence.apply(one);
    return ["a", "b", "c", "d"].map((one) => evidence.check([one]));
  };
  fc.assert(
    fc.property(
      fc.array(news, { minLength: 1, maxLength: 6 }).chain((items) =>
        fc.tuple(
          fc.constant(items),
          fc.shuffledSubarray([...items, ...items], {
            minLength: 2 * items.length,
          }),
        )
      ),
      ([items, shuffled]) => {
        expect(conclusions(shuffled)).toEqual(conclusions(items));
      },
    ),
  );
});

for (const spacing of [200, 600, 900] as const) {
  // Guards against refusals of shared parts in an outage without answers: three
  // unrelated crashes 0.9 s apart condemned a part proven 2.5 s before.
  test(`an outage with crashes ${spacing} ms apart condemns no part proven before`, async () => {
    const { clock, evidence, condemned } = createDaemon();
    const crashOne = async (replica: string, ...parts: readonly string[]) => {
      evidence.recordLoss({ replica, suspects: parts });
      await clock.advance(spacing);
    };
    evidence.recordSuccess([POPULAR]);
    await clock.advance(700);
    for (let crash = 0; crash < 8; crash += 1) {
      await crashOne(`r${crash}`, POPULAR, `own${crash}`);
    }
    expect(evidence.check([POPULAR])).toEqual(undefined);
    expect(condemned).toEqual([]);
    // Answers on other parts show that the outage is over; later crashes that
    // the service is alive and the part deadly.
    evidence.recordSuccess(["other"]);
    await clock.advance(spacing);
    expect(evidence.check([POPULAR])).toEqual(undefined);
    for (let crash = 0; crash < 3; crash += 1) {
      await crashOne(`s${crash}`, POPULAR, `late${crash}`);
      evidence.recordSuccess(["other"]);
    }
    expect(isCondemned(evidence, POPULAR)).toEqual(true);
  });
}
