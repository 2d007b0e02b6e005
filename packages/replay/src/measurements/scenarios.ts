/**
 * The scenarios of `npm run measure`. The engine stand-ins run at a multiple of
 * their speed, so that a scenario fits a few seconds of a shared machine.
 */
import { shortenShutdown } from "@peridotvalve/testbed";
import {
  type GenerateOptions,
  generateTrace,
  type Shape,
  SHAPES,
} from "../trace/generate.ts";
import type { TraceRequest } from "../trace/trace.ts";

export const POLICIES = [
  "estimate",
  "random",
  "round-robin",
  "least-load",
  "sticky",
] as const;

export type Policy = (typeof POLICIES)[number];

export const SEEDS = [1, 2, 3];

export interface Setting {
  readonly name: string;
  readonly daemons: readonly string[];
  /** Replicas of the example that are left out to fit the machine. */
  readonly left: readonly string[];
  /** Replica that a scenario slows. */
  readonly slowed: string;
}

export const SETTINGS: readonly Setting[] = [{
  name: "koiratakki",
  daemons: ["espoo-1", "espoo-2", "vantaa-1", "vaasa-1"],
  left: [],
  slowed: "sizing-llm-espoo-1",
}, {
  name: "albuquerque",
  daemons: ["caruaru-a-1", "caruaru-a-2", "recife-a-1", "fortaleza-a-1"],
  left: ["oficina-llm-caruaru-a-3", "oficina-llm-recife-a-3"],
  slowed: "oficina-llm-caruaru-a-1",
}];

/** Nominal requests per second, so that 5 times as many overload six engines. */
const CAPACITY = 30;
const SPEED = 4;
const SLOW_FACTOR = 6;
const PATIENCE = 2_000;

/** Few enough that conversations evict each other. */
const BLOCKS = 14;
const CONVERSATIONS = 16;

export const ENGINE_WORDS = [
  ...["--speed", String(SPEED)],
  ...["--blocks", String(BLOCKS)],
];

export interface Scenario {
  readonly name: string;
  readonly load: number;
  readonly duration: number;
  readonly slowFactor: number;
}

export const SCENARIOS: readonly Scenario[] = [
  { name: "1x", load: 1, duration: 3_000, slowFactor: 1 },
  { name: "2x", load: 2, duration: 2_500, slowFactor: 1 },
  { name: "5x", load: 5, duration: 2_000, slowFactor: 1 },
  { name: "one slowed", load: 0.8, duration: 3_000, slowFactor: SLOW_FACTOR },
];

/** All chats go to the one model group that is started. */
export function shapeOf(setting: Setting): Shape {
  const shape = SHAPES[setting.name];
  if (shape === undefined) throw new Error(`no shape ${setting.name}`);
  return { ...shape, shortModel: shape.model };
}

/**
 * The trace of a run. Conversations are named after the run, so that no run
 * finds blocks of an earlier one.
 */
export function traceOf(
  setting: Setting,
  run: {
    readonly scenario: Scenario;
    readonly seed: number;
    readonly policy: Policy;
  },
): readonly TraceRequest[] {
  const { scenario, seed, policy } = run;
  const options: GenerateOptions = {
    ...{ seed, duration: scenario.duration, patience: PATIENCE },
    rate: CAPACITY * scenario.load,
    conversations: CONVERSATIONS,
  };
  const name = `${scenario.name}/${policy}`;
  return generateTrace(shapeOf(setting), options).map((request) =>
    request.kind === "chat"
      ? { ...request, conversation: `${name}/${request.conversation}` }
      : request.kind === "order"
      ? { ...request, key: `${name}/${request.key}` }
      : request
  );
}

/** Lifts the customers' limits and leaves replicas out. */
export function editSettings(setting: Setting): (text: string) => string {
  return (text) => {
    const lifted = shortenShutdown(text)
      .replace(/concurrency: \d+/g, "concurrency: 1000")
      .replace(/requestsPerSecond: \d+/g, "requestsPerSecond: 1000")
      .replace(/minimumReady: \d+/g, "minimumReady: 1")
      .replace("logLevel: info", "logLevel: debug");
    return setting.left.reduce(
      (rest, name) =>
        rest.replace(new RegExp(` {6}${name}:\n(?: {8}.*\n)+`), ""),
      lifted,
    );
  };
}
