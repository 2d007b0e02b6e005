/**
 * Weighs replicas for a prompt by the time until its first event and by the
 * delay that it causes to others, so that long and short prompts share a fleet
 * within their targets. Everything is in milliseconds, and costs are times that
 * callers lose.
 *
 * The load patterns are short prompts behind the prefill of long ones, bursts
 * of long prompts, replicas whose machine is slow, and memory that running
 * requests fill.
 */
import type { ReplicaLoad } from "@peridotvalve/load";
import type { Milliseconds, Tokens } from "@peridotvalve/types";

/** Expected course of a prompt at a replica. */
export interface Forecast {
  /** Prefill queued ahead of the prompt, as known and probably unknown. */
  readonly ahead: Milliseconds;
  /** Time from now to the first event. */
  readonly firstEvent: Milliseconds;
  /** True when the first event is expected within the target. */
  readonly isInTarget: boolean;
  /** Time that callers lose, this one and others. */
  readonly cost: Milliseconds;
}

/** What is known of a replica without looking at its cache. */
export interface Occupancy {
  readonly load: ReplicaLoad;
  readonly slots: number;
  /** How long work takes on the machine; 1 is as usual. */
  readonly slowness: number;
  readonly distance: Distance;
}

export type Distance = "zone" | "region" | "other";

/** The times that do not depend on what the replica has cached. */
export interface Occupation extends Occupancy {
  /** Prefill queued ahead, as known. */
  readonly known: Milliseconds;
  /** The same with what other daemons have probably added. */
  readonly ahead: Milliseconds;
  /** Time until the own prefill can begin. */
  readonly wait: Milliseconds;
}

/** What a replica has to do for the prompt. */
export interface Effort {
  /** Prompt tokens to prefill. */
  readonly unread: Tokens;
  /** Shared tokens among them that are cached elsewhere. */
  readonly recomputed: Tokens;
  /** Time to fetch what is fetched. */
  readonly fetch: Milliseconds;
}

export interface PromptTraits {
  readonly service: string;
  readonly route: string;
  readonly latencyTarget: Milliseconds;
  readonly eventGapTarget: Milliseconds;
  /** Time since the prompt arrived. */
  readonly age: Milliseconds;
  /** Prompt tokens that a replica prefills per millisecond. */
  readonly rate: number;
}

export abstract class PromptWeighing {
  abstract occupy(occupancy: Occupancy): Occupation;
  /**
   * Returns false while the prompt must wait rather than go to the replica,
   * where it would stand in front of prompts with tighter targets.
   */
  abstract mayBlock(occupation: Occupation, effort: Effort): boolean;
  abstract forecast(occupation: Occupation, effort: Effort): Forecast;
}

export abstract class MixedPrompts {
  abstract weigh(prompt: PromptTraits): PromptWeighing;
}

/**
 * Share of the tightest target that the prefill in front of a prompt may take.
 * The other half is left for its own prefill, the network, and load that other
 * daemons have added since their last digests.
 */
const BLOCKING_SHARE = 0.5;

/**
 * Share of the time left at which a first event begins to be at risk. Forecasts
 * of replicas in other daemons' use are off by up to half.
 */
const RISK_SHARE = 0.5;

/** Time to spare, in targets, below which a prompt no longer waits. */
const LAST_SHARE = 0.25;

/** Age, in targets, from which a late prompt no longer waits for others. */
const LATE_TARGETS = 1.5;

/** Digests of the peers are this old on average. */
const DIGEST_AGE: Milliseconds = 250;

/** Ratio of the decaying sum of recent tokens to their rate. */
const RECENT_TIME: Milliseconds = 2_164;

/** A request beyond the slots waits about this long for another one's end. */
const SLOT_WAIT: Milliseconds = 35;

/** Engines prefill a piece of a prompt between two tokens of a stream. */
const PIECE_TIME: Milliseconds = 15;

/** Streams that a batch delays noticeably. */
const MAX_DELAYED = 40;

/** Requests of another batch slow down each of its steps. */
const BATCH_DELAY: Milliseconds = 1.5;

/** Round trips, with what the bytes between zones and regions cost. */
const DISTANCE_TIMES: Readonly<Record<Distance, Milliseconds>> = {
  zone: 0,
  region: 2,
  other: 12,
};

/**
 * Weight of prefilling what is cached elsewhere, beside the time that it takes.
 * It evicts parts of the same size, which are then prefilled again in turn. In
 * `measure_mixed_prompts.ts`, 3 serves more in target than 1.5 at high load.
 */
const RECOMPUTED_WEIGHT = 3;

/** Time for which the target of a route counts after its last prompt. */
const TARGET_MEMORY: Milliseconds = 5_000;

export interface MixedPromptsOptions {
  readonly now: () => Milliseconds;
}

export function createMixedPrompts(
  { now }: MixedPromptsOptions,
): MixedPrompts {
  const targets = createSeenTargets(now);

  return new (class extends MixedPrompts {
    override weigh(prompt: PromptTraits): PromptWeighing {
      const tightest = targets.tightest(prompt);
      return createWeighing(prompt, tightest);
    }
  })();
}

function createWeighing(
  prompt: PromptTraits,
  tightest: Milliseconds,
): PromptWeighing {
  const { rate, latencyTarget, age } = prompt;
  const left = latencyTarget - age;
  const limit = tightest * BLOCKING_SHARE;
  /** Pieces between tokens use up this share of the pause that streams allow. */
  const pauseShare = PIECE_TIME / prompt.eventGapTarget;

  /** What a first event after the time costs the caller itself. */
  function lossOf(time: Milliseconds): Milliseconds {
    return time + riskOf(time, left) * latencyTarget;
  }

  return new (class extends PromptWeighing {
    override occupy(occupancy: Occupancy): Occupation {
      const { load, slots, slowness, distance } = occupancy;
      const known = load.unread / rate * slowness;
      const unknown = load.recentTokens * DIGEST_AGE / RECENT_TIME / rate *
        slowness;
      const queued = slots === 0 ? 0 : Math.max(0, load.requests + 1 - slots);
      const ahead = known + unknown;
      const wait = ahead + queued * SLOT_WAIT * slowness +
        DISTANCE_TIMES[distance];
      return { load, slots, slowness, distance, known, ahead, wait };
    }

    override mayBlock(
      { load, known, slowness }: Occupation,
      effort: Effort,
    ): boolean {
      if (load.unread === 0) return true;
      if (known > limit) return false;
      const time = known + effort.unread / rate * slowness;
      if (time <= limit || age > latencyTarget * LATE_TARGETS) return true;
      // A prompt at the end of its time would gain nothing from waiting.
      const spare = left - time;
      return spare >= 0 && spare < latencyTarget * LAST_SHARE;
    }

    override forecast(
      { load, slowness, ahead, wait }: Occupation,
      effort: Effort,
    ): Forecast {
      const added = effort.unread / rate * slowness;
      const firstEvent = wait + added + effort.fetch;
      const beside = Math.min(MAX_DELAYED, load.requests);
      const blocked = tightest < latencyTarget
        ? riskOf(ahead + added, tightest) * tightest
        : 0;
      const cost = lossOf(firstEvent) + blocked +
        beside * (BATCH_DELAY + added * pauseShare) +
        effort.recomputed / rate * RECOMPUTED_WEIGHT;
      return { ahead, firstEvent, isInTarget: firstEvent <= left, cost };
    }
  })();
}

/** Probability that an expected time turns out to be beyond the limit. */
function riskOf(time: Milliseconds, limit: Milliseconds): number {
  if (limit <= 0) return 1;
  const used = time / limit;
  return Math.min(1, Math.max(0, (used - RISK_SHARE) / (1 - RISK_SHARE)));
}

/** The targets of the routes that prompts of a service came by recently. */
function createSeenTargets(now: () => Milliseconds) {
  const seen = new Map<
    string,
    Map<string, { target: Milliseconds; at: Milliseconds }>
  >();

  return {
    /** Records the prompt's target; returns the tightest of its service. */
    tightest({ service, route, latencyTarget }: PromptTraits): Milliseconds {
      const at = now();
      const routes = seen.get(service) ?? new Map();
      if (!seen.has(service)) seen.set(service, routes);
      routes.set(route, { target: latencyTarget, at });
      let tightest = latencyTarget;
      for (const [name, known] of routes) {
        if (known.at < at - TARGET_MEMORY) routes.delete(name);
        else tightest = Math.min(tightest, known.target);
      }
      return tightest;
    },
  };
}
