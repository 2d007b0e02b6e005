/**
 * Plans fault schedules from a seed. Faults overlap, so that several are active
 * at the same time.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { PlannedFault } from "./faults.ts";
import { createRandom, type Random } from "./random.ts";

export interface Targets {
  readonly daemons: readonly string[];
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly stores: readonly string[];
  /** Daemons that reach the platform through a relay. */
  readonly relayed: readonly string[];
}

type FaultFactory = (
  random: Random,
  targets: Targets,
) => Omit<PlannedFault, "after">;

const SHORT_DURATION: readonly [Milliseconds, Milliseconds] = [500, 2_500];

// Longer than the send deadline of claims (5 s) and than the time after which
// peers declare a daemon dead.
const PAUSE_DURATION: readonly [Milliseconds, Milliseconds] = [5_500, 7_500];

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

const FAULT_FACTORIES: readonly FaultFactory[] = [
  (random, { daemons }) => ({
    fault: "daemon killed",
    target: random.pick(daemons),
    duration: random.between(...SHORT_DURATION),
  }),
  (random, { daemons }) => ({
    fault: "daemon paused",
    target: random.pick(daemons),
    duration: random.between(...PAUSE_DURATION),
  }),
  (random, { daemons }) => ({
    fault: "daemon stopped",
    target: random.pick(daemons),
    duration: random.between(...SHORT_DURATION),
  }),
  (random, { engines }) => ({
    fault: "engine killed",
    target: random.pick(engines),
    duration: random.between(...SHORT_DURATION),
  }),
  (random, { engines }) => ({
    fault: "engine leaving",
    target: random.pick(engines),
    duration: random.between(5_000, 7_000),
  }),
  (random, { engines }) => ({
    fault: "engine fault",
    target: random.pick(engines),
    duration: random.between(...SHORT_DURATION),
    change: random.pick(ENGINE_CHANGES),
  }),
  (random, { services }) => ({
    fault: "service killed",
    target: random.pick(services),
    duration: random.between(...SHORT_DURATION),
  }),
  (random, { services }) => ({
    fault: "service fault",
    target: random.pick(services),
    duration: random.between(...SHORT_DURATION),
    change: random.pick(SERVICE_CHANGES),
  }),
  (random, { stores }) => ({
    fault: "store VM killed",
    target: random.pick(stores),
    duration: random.between(...SHORT_DURATION),
  }),
  (random, { stores }) => ({
    fault: "store VM fault",
    target: random.pick(stores),
    duration: random.between(...SHORT_DURATION),
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

/** Plans faults whose start times cover the given length. */
export function planFaults(
  seed: number,
  length: Milliseconds,
  targets: Targets,
): readonly PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let elapsed = 0;
  while (elapsed < length) {
    // A third of the faults start almost together with the previous one.
    const after = random.chance(33) ? 100 : random.between(600, 2_500);
    elapsed += after;
    faults.push({ after, ...random.pick(FAULT_FACTORIES)(random, targets) });
  }
  return faults;
}

/** Formats each fault as one line for the log of a run. */
export function describeFaults(
  faults: readonly PlannedFault[],
): readonly string[] {
  let elapsed = 0;
  return faults.map(({ after, fault, target, duration, change }) => {
    elapsed += after;
    const details = change === undefined ? "" : ` ${JSON.stringify(change)}`;
    return `${String(elapsed).padStart(7)} ms  ${fault} ${target} for ` +
      `${duration} ms${details}`;
  });
}
