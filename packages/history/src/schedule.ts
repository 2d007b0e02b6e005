/**
 * Seeded fault schedules. Faults overlap, so that two or more act at once.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { PlannedFault } from "./faults.ts";
import { createRandom, type Random } from "./random.ts";

export interface Targets {
  readonly daemons: readonly string[];
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly stores: readonly string[];
  /** Daemons with a relay in front of the platform. */
  readonly relayed: readonly string[];
}

type Plan = (
  random: Random,
  targets: Targets,
) => Omit<PlannedFault, "after">;

const SHORT: readonly [Milliseconds, Milliseconds] = [500, 2_500];

// Longer than the send deadline of claims (5 s) and the peers' time to call a
// daemon dead.
const PAUSE: readonly [Milliseconds, Milliseconds] = [5_500, 7_500];

const PLATFORM_CHANGES = [
  { outage: true },
  { delay: 700 },
  { delay: 1_500 },
  { loseAnswerRate: 0.4 },
  { loseNextAnswers: 3 },
  { freezeConnections: true },
];

const ENGINE_CHANGES = [
  { stallStreams: true },
  { cutStreamsAfter: 3 },
  { crossStreams: true },
  { streamFault: "repeat" },
  { streamFault: "skip" },
  { streamFault: "wrong count" },
  { streamFault: "no end" },
  { streamFault: "garbage" },
  { freezeConnections: true },
  { silent: true },
  { outage: true },
  { errorRate: 0.5 },
  { slowFactor: 6 },
];

const SERVICE_CHANGES = [
  { loseAnswers: true },
  { hangAfterEffect: true },
  { refuse: true },
  { freezeConnections: true },
  { silent: true },
  { outage: true },
  { delay: 400 },
  { latency: 3_500 },
];

const STORE_CHANGES = [
  { outage: true },
  { silent: true },
  { freezeConnections: true },
];

const PLANS: readonly Plan[] = [
  (random, { daemons }) => ({
    fault: "daemon killed",
    target: random.pick(daemons),
    duration: random.between(...SHORT),
  }),
  (random, { daemons }) => ({
    fault: "daemon paused",
    target: random.pick(daemons),
    duration: random.between(...PAUSE),
  }),
  (random, { daemons }) => ({
    fault: "daemon stopped",
    target: random.pick(daemons),
    duration: random.between(...SHORT),
  }),
  (random, { engines }) => ({
    fault: "engine killed",
    target: random.pick(engines),
    duration: random.between(...SHORT),
  }),
  (random, { engines }) => ({
    fault: "engine leaving",
    target: random.pick(engines),
    duration: random.between(5_000, 7_000),
  }),
  (random, { engines }) => ({
    fault: "engine fault",
    target: random.pick(engines),
    duration: random.between(...SHORT),
    change: random.pick(ENGINE_CHANGES),
  }),
  (random, { services }) => ({
    fault: "service killed",
    target: random.pick(services),
    duration: random.between(...SHORT),
  }),
  (random, { services }) => ({
    fault: "service fault",
    target: random.pick(services),
    duration: random.between(...SHORT),
    change: random.pick(SERVICE_CHANGES),
  }),
  (random, { stores }) => ({
    fault: "store VM killed",
    target: random.pick(stores),
    duration: random.between(...SHORT),
  }),
  (random, { stores }) => ({
    fault: "store VM fault",
    target: random.pick(stores),
    duration: random.between(...SHORT),
    change: random.pick(STORE_CHANGES),
  }),
  (random) => ({
    fault: "platform fault",
    target: "platform",
    duration: random.between(1_000, 4_000),
    change: random.pick(PLATFORM_CHANGES),
  }),
  (random, { relayed }) => ({
    fault: "platform cut",
    target: random.pick(relayed),
    duration: random.between(1_000, 4_000),
    change: { frozen: random.chance(50) },
  }),
];

/** Faults for about the given time. */
export function planFaults(
  seed: number,
  length: Milliseconds,
  targets: Targets,
): readonly PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let at = 0;
  while (at < length) {
    // A third of the faults begin together with the one before.
    const after = random.chance(33) ? 100 : random.between(600, 2_500);
    at += after;
    faults.push({ after, ...random.pick(PLANS)(random, targets) });
  }
  return faults;
}

/** One line for each fault, for the log of a run. */
export function describeFaults(
  faults: readonly PlannedFault[],
): readonly string[] {
  let at = 0;
  return faults.map(({ after, fault, target, duration, change }) => {
    at += after;
    const details = change === undefined ? "" : ` ${JSON.stringify(change)}`;
    return `${String(at).padStart(7)} ms  ${fault} ${target} for ` +
      `${duration} ms${details}`;
  });
}
