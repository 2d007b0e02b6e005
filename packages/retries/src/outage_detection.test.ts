/** When the crashes of a suspect can be those of an outage. */
import { createManualClock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import {
  type CrashEvidence,
  createCrashEvidence,
  SETTLING_TIME,
} from "./crash_evidence.ts";
import {
  createOutlivedAnswers,
  MAX_SAMPLED_SUSPECTS,
  MAX_SAMPLES,
} from "./outlived_answers.ts";
import { createSuspectProofs, MAX_COMMON } from "./suspect_proofs.ts";

const PART = "part";
const GAP: Milliseconds = 700;

interface Case {
  /** Time by which the begin of another answer on the replica is earlier. */
  readonly lead?: Milliseconds;
  /** True if the crashes end another answer too. */
  readonly hasOther: boolean;
  /** True if the suspect has been proven sound before. */
  readonly isProven?: boolean;
  /** Crashes on whose replicas the other answer leads; default: all. */
  readonly leads?: number;
  /** Replicas that live on with answers on others. */
  readonly survivors?: number;
}

/** Ends five replicas 200 ms after answers on the part; tells the verdict. */
async function isCondemned(
  { hasOther, lead = 0, leads = 5, isProven = false, survivors = 0 }: Case,
): Promise<boolean> {
  const clock = createManualClock();
  const evidence = createCrashEvidence({ clock });
  if (isProven) {
    await outlive(evidence, "r", [PART]);
    await clock.advance(10_000);
  }
  for (let crash = 0; crash < 5; crash += 1) {
    const replica = `r${crash}`;
    const begins: ReturnType<CrashEvidence["recordBegin"]>[] = [];
    if (hasOther) begins.push(evidence.recordBegin(replica, [`o${crash}`]));
    if (crash < leads) await clock.advance(lead);
    await clock.advance(20);
    begins.push(evidence.recordBegin(replica, [PART]));
    await clock.advance(200);
    for (const begin of begins) {
      evidence.recordLoss({ replica, ...begin.breakOff() });
    }
    if (crash < survivors) await outlive(evidence, `s${crash}`, [`t${crash}`]);
    else await clock.advance(GAP);
  }
  await clock.advance(GAP);
  return evidence.check([PART]) !== undefined;

  async function outlive(
    evidence: CrashEvidence,
    replica: string,
    parts: readonly string[],
  ) {
    const answer = evidence.recordBegin(replica, parts);
    await clock.advance(SETTLING_TIME);
    evidence.recordReceived(replica);
    answer.complete();
  }
}

const CASES: Readonly<Record<string, readonly [Case, boolean]>> = {
  "with no others on the replicas": [{ hasOther: false }, true],
  "with others that live as long": [{ hasOther: true }, false],
  "with others that live longer": [{ hasOther: true, lead: 100 }, true],
  "with others that live longer at one replica": [
    { hasOther: true, lead: 100, leads: 1 },
    false,
  ],
  "with others that live on elsewhere": [
    { hasOther: true, survivors: 2 },
    true,
  ],
  "with others that live on at one replica": [
    { hasOther: true, survivors: 1 },
    false,
  ],
  "sound before, with others that live longer at two replicas": [
    { hasOther: true, isProven: true, lead: 100, leads: 2 },
    false,
  ],
  "sound before, with others that live longer at three": [
    { hasOther: true, isProven: true, lead: 100, leads: 3 },
    true,
  ],
};

for (const [name, [given, expected]] of Object.entries(CASES)) {
  // Guards against sound parts that are refused because an outage ends their
  // answers, and against a deadly one that is taken for an outage.
  test(`five crashes after begun answers, ${name}`, async () => {
    expect(await isCondemned(given)).toEqual(expected);
  });
}

// Guards against a deadly part that is taken for an outage, because the other
// parts of its own requests look like answers without it.
test("requests with the part alone on the replicas are no others", async () => {
  const clock = createManualClock();
  const evidence = createCrashEvidence({ clock });
  for (let crash = 0; crash < 5; crash += 1) {
    const replica = `r${crash}`;
    const first = evidence.recordBegin(replica, [PART, `first${crash}`]);
    await clock.advance(100);
    const second = evidence.recordBegin(replica, [PART, `second${crash}`]);
    await clock.advance(100);
    evidence.recordLoss({ replica, ...first.breakOff() });
    evidence.recordLoss({ replica, ...second.breakOff() });
    await clock.advance(GAP);
  }
  expect(evidence.check([PART]) !== undefined).toEqual(true);
});

// Guards against memory that grows with answers and replicas.
test("the answers that are kept for their lives are bounded", async () => {
  const clock = createManualClock();
  const outlived = createOutlivedAnswers(clock);
  for (let number = 0; number <= MAX_SAMPLES; number += 1) {
    outlived.recordBegin(`r${number}`, ["p"]);
  }
  await clock.advance(1_000);
  for (let number = 0; number <= MAX_SAMPLES; number += 1) {
    outlived.recordReceived(`r${number}`);
  }
  const found = outlived.listOthers("q", { start: 0, end: Infinity });
  expect(found.length).toEqual(MAX_SAMPLES);
  expect(found[0]).toEqual({ replica: "r1", beganAt: 0, life: 1_000 });
  expect(outlived.listOthers("p", { start: 0, end: Infinity })).toEqual([]);
});

// Guards against memory that grows with the parts that callers name.
test("the suspects that are kept for recent answers are bounded", () => {
  const clock = createManualClock();
  const outlived = createOutlivedAnswers(clock);
  const parts = Array.from({ length: 1_000 }, (_, part) => `p${part}`);
  for (let kept = 0; kept <= MAX_SAMPLED_SUSPECTS; kept += parts.length) {
    outlived.recordBegin(`r${kept}`, parts);
  }
  const found = outlived.listOthers("q", { start: 0, end: Infinity });
  expect(found.length).toEqual(Math.floor(MAX_SAMPLED_SUSPECTS / 1_000));

  const proofs = createSuspectProofs(clock);
  proofs.recordAnswer("parts", 300, parts);
  const hasOther = (part: number) =>
    proofs.hasAnswerBetween(parts[part] ?? "", [0, 100, 900]);
  expect(hasOther(MAX_COMMON - 1)).toEqual(false);
  expect(hasOther(MAX_COMMON)).toEqual(true);
});

// Guards against a part that crashes replicas beside few other requests and seems
// to end them in an outage, as no data tells that the other replicas live.
test("a replica without requests lives while its connections do", async () => {
  for (const isClosed of [false, true]) {
    const clock = createManualClock();
    const evidence = createCrashEvidence({ clock });
    for (let crash = 0; crash < 5; crash += 1) {
      evidence.recordBegin(`other${crash}`, [`part${crash}`]).complete();
      if (isClosed) evidence.recordDisconnect(`other${crash}`);
      evidence.recordBegin(`r${crash}`, ["deadly"]).complete();
      await clock.advance(200);
      evidence.recordDisconnect(`r${crash}`);
      evidence.recordEnd(`r${crash}`);
      await clock.advance(600);
    }
    expect(evidence.check(["deadly"]) !== undefined).toEqual(!isClosed);
  }
});
