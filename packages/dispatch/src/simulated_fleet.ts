/**
 * A fleet under load, in steps of 10 ms: engines that prefill in the order of
 * admission and preempt when their memory runs out, and daemons that place
 * prompts and learn of each other's load as late as in a deployment.
 *
 * Used by `mixed_prompts.test.ts` and `measure_mixed_prompts.ts`.
 */
import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import { createLoadView, type LoadView } from "@peridotvalve/load";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { type CacheView, createCacheView } from "./cache_view.ts";
import { type DispatchRequest, priorityOf } from "./dispatch_request.ts";
import type { Choice } from "./choice.ts";
import { createPlacement, type Placement } from "./placement.ts";
import { createReplicaTable } from "./replica.ts";
import { createTransferPlanner } from "./transfers.ts";
import { createWeightTargets } from "./weights.ts";

export interface PromptKind {
  readonly name: string;
  /** Requests per second of the whole deployment. */
  readonly rate: number;
  readonly shared: Tokens;
  readonly own: Tokens;
  readonly output: Tokens;
  readonly target: Milliseconds;
  readonly priority: number;
}

export interface SimulatedDeployment {
  readonly replicas: number;
  readonly daemons: number;
  readonly slots: number;
  readonly memory: Tokens;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillRate: number;
  /** Parts that are shared by the prompts of a kind. */
  readonly sessions: number;
  readonly kinds: readonly PromptKind[];
}

export interface KindResult {
  total: number;
  inTarget: number;
}

export interface SimulationResult {
  readonly kinds: ReadonlyMap<string, KindResult>;
  readonly promptTokens: Tokens;
  /** Shared tokens that were prefilled. */
  readonly sharedPrefilled: Tokens;
  readonly preemptions: number;
}

interface Running {
  readonly request: DispatchRequest;
  readonly kind: PromptKind;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
  left: Tokens;
  produced: Tokens;
  firstEventAt?: Milliseconds;
  lastEventAt?: Milliseconds;
  longestPause: Milliseconds;
}

const STEP: Milliseconds = 10;
const TOKEN_PERIOD: Milliseconds = 20;
const ZONES = ["a", "b", "c", "d", "e", "f"];
const REGIONS = new Map(
  ZONES.map((zone, index) => [zone, index < 3 ? "north" : "south"]),
);
const DIGEST_PERIOD: Milliseconds = 250;
const AGGREGATE_PERIOD: Milliseconds = 1_000;
const EVENT_GAP: Milliseconds = 300;
/** The load is as stated until then, and nothing is counted. */
const WARM_UP: Milliseconds = 4_000;

/** Outputs grow by a token in 20 ms, so memory is looked at less often. */
const MEMORY_PERIOD: Milliseconds = 50;

/** One replica in twelve runs three times as slow for 1 s in 4 s. */
const SLOW_REPLICAS = 12;
const SLOWNESS = 3;

function createEngine(deployment: SimulatedDeployment, index: number) {
  const { slots, memory, prefillRate } = deployment;
  /** Tokens by part, least recently used first. */
  const cache = new Map<string, Tokens>();
  let waiting: Running[] = [];
  let running: Running[] = [];
  const counts = { sharedPrefilled: 0, preemptions: 0 };

  function slownessAt(now: Milliseconds): number {
    const isSlow = index % SLOW_REPLICAS === 0 && now % 4_000 < 1_000;
    return isSlow ? SLOWNESS : 1;
  }

  function pinnedTokens(): Tokens {
    const parts = new Map(
      running.flatMap(({ request }) =>
        request.prompt!.parts.map(({ id, tokens }) => [id, tokens] as const)
      ),
    );
    const produced = running.reduce((sum, entry) => sum + entry.produced, 0);
    return produced + [...parts.values()].reduce((sum, next) => sum + next, 0);
  }

  function freeMemory(): void {
    while (running.length > 1 && pinnedTokens() > memory) {
      const victim = running.reduce((worst, entry) =>
        priorityOf(entry.request) >= priorityOf(worst.request) ? entry : worst
      );
      counts.preemptions += 1;
      running = running.filter((entry) => entry !== victim);
      waiting = [victim, ...waiting];
    }
    const pinned = new Set(
      running.flatMap(({ request }) => request.prompt!.parts.map((p) => p.id)),
    );
    let cached = [...cache].reduce(
      (sum, [id, tokens]) => pinned.has(id) ? sum : sum + tokens,
      pinnedTokens(),
    );
    for (const [id, tokens] of cache) {
      if (cached <= memory) return;
      if (pinned.has(id)) continue;
      cache.delete(id);
      cached -= tokens;
    }
  }

  function admit(): void {
    waiting.sort((l, r) => priorityOf(l.request) - priorityOf(r.request));
    while (running.length < slots && waiting.length > 0) {
      const next = waiting[0]!;
      const needed = next.request.prompt!.promptTokens;
      if (running.length > 0 && pinnedTokens() + needed > memory) return;
      waiting.shift();
      const [shared, own] = next.request.prompt!.parts;
      const isHeld = cache.delete(shared!.id);
      cache.set(shared!.id, shared!.tokens);
      cache.set(own!.id, own!.tokens);
      if (!isHeld) counts.sharedPrefilled += shared!.tokens;
      next.left = own!.tokens + (isHeld ? 0 : shared!.tokens) + next.produced;
      running.push(next);
    }
  }

  return {
    counts,
    slownessAt,
    add: (entry: Running) => waiting.push(entry),
    step(now: Milliseconds): readonly Running[] {
      admit();
      const slowness = slownessAt(now);
      let budget = STEP * prefillRate / slowness;
      for (const entry of running) {
        const read = Math.min(entry.left, budget);
        entry.left -= read;
        budget -= read;
        if (entry.left > 0) continue;
        const since = now - (entry.lastEventAt ?? -Infinity);
        if (since < TOKEN_PERIOD * slowness) continue;
        if (entry.lastEventAt !== undefined) {
          entry.longestPause = Math.max(entry.longestPause, since);
        }
        if (entry.firstEventAt === undefined) entry.onFirstEvent();
        entry.firstEventAt ??= now;
        entry.lastEventAt = now;
        entry.produced += 1;
      }
      const ended = running.filter(({ produced, kind }) =>
        produced >= kind.output
      );
      if (ended.length > 0) {
        running = running.filter((entry) => !ended.includes(entry));
      }
      if (now % MEMORY_PERIOD === 0) freeMemory();
      return ended;
    },
  };
}

interface Daemon {
  readonly zone: string;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly placement: Placement;
  waiting: DispatchRequest[];
}

function createDaemon(
  deployment: SimulatedDeployment,
  clock: ManualClock,
  zone: string,
  options: {
    readonly random: () => number;
    readonly isMixed: boolean;
    readonly slowness: (replica: string) => number;
  },
): Daemon {
  const { memory, prefillRate, slots } = deployment;
  const load = createLoadView(clock);
  const cache = createCacheView({ memoryOf: () => memory });
  const weights = createWeightTargets({ clock, patience: () => 10_000 });
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.replaceAll(
    Array.from({ length: deployment.replicas }, (_, index) => ({
      ...{ id: `i-${index}`, service: "llm", address: `10.0.0.${index}:80` },
      ...{ zone: zoneOf(index), slots, state: "ready" as const },
      weights: new Map([["m", 1]]),
    })),
  );
  const transfers = createTransferPlanner({
    ...{ clock, cache, stores: () => [], regions: REGIONS },
    prefillRate: () => prefillRate,
  });
  const placement = createPlacement({
    ...{ replicas, load, cache, weights, transfers, random: options.random },
    ...{ memoryOf: () => memory, prefillRate: () => prefillRate },
    topology: { zone, regions: REGIONS },
    knowsCaches: () => false,
    mixedPrompts: () => options.isMixed,
    now: () => clock.monotonic(),
    slownessOf: options.slowness,
  });
  return { zone, load, cache, placement, waiting: [] };
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? "";
}

function createRequest(
  id: number,
  kind: PromptKind,
  session: number,
  arrivedAt: Milliseconds,
): DispatchRequest {
  const { shared, own, output, target, priority } = kind;
  return {
    id: `r-${id}`,
    route: {
      ...{ name: kind.name, host: "h", prefix: "/", kind: "stream" as const },
      ...{ targets: [{ service: "llm", weight: 1 }], timeout: 12_000 },
      ...{ latencyTarget: target, eventGapTarget: EVENT_GAP, priority },
      ...{ maxExecutions: 2, isPublic: true, isResumable: true },
    },
    service: "llm",
    prompt: {
      ...{ model: "m", promptTokens: shared + own, outputTokens: output },
      parts: [
        { id: `${kind.name}-${session}`, tokens: shared },
        { id: `o-${id}`, tokens: own },
      ],
    },
    arrivedAt,
    deadline: arrivedAt + 12_000,
  };
}

/** Plays the load of the deployment for the given time. */
export async function simulateFleet(
  deployment: SimulatedDeployment,
  { seed, duration, load = 1, isMixed }: {
    readonly seed: number;
    /** Multiple of the deployment's rates. */
    readonly load?: number;
    readonly duration: Milliseconds;
    readonly isMixed: boolean;
  },
): Promise<SimulationResult> {
  const clock = createManualClock();
  const generator = xorshift128plus(seed);
  const pick = (count: number) => uniformInt(generator, 0, count - 1);
  const random = () => pick(1_000_000) / 1_000_000;
  const engines = Array.from(
    { length: deployment.replicas },
    (_, index) => createEngine(deployment, index),
  );
  const engineOf = (id: string) => engines[Number(id.slice(2))]!;
  const slowness = (id: string) => engineOf(id).slownessAt(clock.monotonic());
  const daemons = Array.from(
    { length: deployment.daemons },
    (_, index) =>
      createDaemon(deployment, clock, zoneOf(index), {
        ...{ random, isMixed, slowness },
      }),
  );
  const kinds = new Map<string, KindResult>(
    deployment.kinds.map(({ name }) => [name, { total: 0, inTarget: 0 }]),
  );
  const kindOf = new Map(deployment.kinds.map((kind) => [kind.name, kind]));
  let promptTokens = 0;
  let sharedBefore = 0;
  let count = 0;

  function place(daemon: Daemon, request: DispatchRequest): boolean {
    const choice = daemon.placement.choose(request, new Set());
    if (choice === undefined) return false;
    start(daemon, request, choice);
    return true;
  }

  function start(daemon: Daemon, request: DispatchRequest, choice: Choice) {
    const { id } = choice.replica.entry;
    const tracked = daemon.load.trackRequest(id, choice);
    for (const { zone, cache } of daemons) {
      if (zone === daemon.zone) {
        cache.expect(id, choice.salt ?? "", request.prompt!.parts.slice(0, 1));
      }
    }
    engineOf(id).add({
      ...{ request, kind: kindOf.get(request.route.name)!, left: 0 },
      ...{ produced: 0, longestPause: 0 },
      onFirstEvent: () => tracked.recordFirstToken(),
      onEnd: () => tracked.end(),
    });
  }

  function share(now: Milliseconds): void {
    daemons.forEach(({ zone, load }, index) => {
      if ((now + index * STEP) % DIGEST_PERIOD === 0) {
        const digest = load.composeDigest(1_000);
        if (digest === undefined) return;
        for (const peer of daemons) {
          if (peer.zone !== zone || peer.load === load) continue;
          peer.load.applyDigest(`front-${index}`, digest).unwrap();
        }
      }
      if (index < ZONES.length && (now + index * 70) % AGGREGATE_PERIOD === 0) {
        const near = Array.from(engines, (_, at) => at)
          .filter((at) => zoneOf(at) === zone).map((at) => `i-${at}`);
        const digest = load.summarize(near, 1_000);
        if (digest === undefined) return;
        for (const peer of daemons) {
          if (peer.zone === zone) continue;
          peer.load.applyDigest(`zone-${zone}`, digest).unwrap();
        }
      }
    });
  }

  const sum = (read: (engine: typeof engines[number]) => number) =>
    engines.reduce((total, engine) => total + read(engine), 0);

  for (let now = 0; now < duration + 4_000; now += STEP) {
    share(now);
    if (now === WARM_UP) {
      sharedBefore = sum(({ counts }) => counts.sharedPrefilled);
    }
    for (const kind of now < duration ? deployment.kinds : []) {
      const expected = kind.rate * (now < WARM_UP ? 1 : load) * STEP / 1_000;
      const arriving = Math.floor(expected) +
        (random() < expected % 1 ? 1 : 0);
      for (let turn = 0; turn < arriving; turn += 1) {
        // Half of the requests are of a tenth of the sessions.
        const sessions = random() < 0.5
          ? Math.ceil(deployment.sessions / 10)
          : deployment.sessions;
        const request = createRequest(count, kind, pick(sessions), now);
        count += 1;
        if (now >= WARM_UP) {
          promptTokens += kind.shared + kind.own;
          kinds.get(kind.name)!.total += 1;
        }
        const daemon = daemons[pick(daemons.length)]!;
        daemon.waiting.push(request);
      }
    }
    for (const daemon of daemons) {
      daemon.waiting.sort((l, r) => priorityOf(l) - priorityOf(r));
      let refused = 0;
      daemon.waiting = daemon.waiting.filter((request) => {
        if (refused >= 8) return true;
        if (place(daemon, request)) return false;
        refused += 1;
        return true;
      });
    }
    for (const engine of engines) {
      for (const entry of engine.step(now)) {
        entry.onEnd();
        const { request, kind } = entry;
        if (request.arrivedAt < WARM_UP) continue;
        const first = (entry.firstEventAt ?? Infinity) - request.arrivedAt;
        if (first > kind.target || entry.longestPause > EVENT_GAP) continue;
        kinds.get(kind.name)!.inTarget += 1;
      }
    }
    await clock.advance(STEP);
  }
  return {
    ...{ kinds, promptTokens },
    sharedPrefilled: sum(({ counts }) => counts.sharedPrefilled) - sharedBefore,
    preemptions: sum(({ counts }) => counts.preemptions),
  };
}

const LONG: PromptKind = {
  ...{ name: "long", rate: 54, shared: 9_122, own: 2_870, output: 48 },
  ...{ target: 808, priority: 2 },
};

/** Half of deployment A of docs/design/hard-load.md, without stores. */
export const DEPLOYMENT_A: SimulatedDeployment = {
  ...{ replicas: 32, daemons: 18, slots: 16, memory: 102_385 },
  ...{ prefillRate: 66, sessions: 150 },
  kinds: [
    LONG,
    {
      ...{ name: "short", rate: 65, shared: 650, own: 177, output: 36 },
      ...{ target: 603, priority: 1 },
    },
    {
      ...{ name: "middle", rate: 99, shared: 1_861, own: 507, output: 3 },
      ...{ target: 1_204, priority: 0 },
    },
  ],
};

/**
 * Two thirds of deployment B. The sizes of its long and middle prompts are those
 * of A, and the second most urgent are the middle ones; the page names neither.
 */
export const DEPLOYMENT_B: SimulatedDeployment = {
  ...{ replicas: 28, daemons: 43, slots: 32, memory: 157_148 },
  ...{ prefillRate: 157, sessions: 150 },
  kinds: [
    { ...LONG, rate: 81, target: 1_019 },
    {
      ...{ name: "short", rate: 142, shared: 650, own: 177, output: 32 },
      ...{ target: 258, priority: 0 },
    },
    {
      ...{ name: "middle", rate: 157, shared: 1_861, own: 507, output: 3 },
      ...{ target: 310, priority: 1 },
    },
  ],
};

/** A with memory for three long prompts on each replica. */
export const DEPLOYMENT_A_SCARCE: SimulatedDeployment = {
  ...DEPLOYMENT_A,
  memory: 40_000,
};
