/**
 * Chooses the replica for a prompt by the times of `mixed_prompts.ts`: looks
 * first at those that probably have its shared parts, and at others only while
 * they could be better. A replica without memory for the prompt is left out, or
 * has the price of a preemption for the most urgent prompts.
 */
import type { ReplicaLoad, SharedPart } from "@peridotvalve/load";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type {
  DispatchRequest,
  PromptMetadata,
  PromptPart,
} from "./dispatch_request.ts";
import {
  createMixedPrompts,
  type Distance,
  type Forecast,
} from "./mixed_prompts.ts";
import type { Choice, PlacementOptions } from "./choice.ts";
import type { Replica } from "./replica.ts";
import type { TransferPlan } from "./transfers.ts";

/** A prompt and the replicas that are compared for it. */
export interface Situation {
  readonly request: DispatchRequest;
  readonly prompt: PromptMetadata;
  readonly usable: readonly Replica[];
  readonly candidates: readonly Replica[];
  readonly shared: readonly PromptPart[];
  readonly sharedTokens: Tokens;
  /** Id of the replica that is the home of the session. */
  readonly preferred: string | undefined;
  /** Holders of the last shared part on the newest weights. */
  readonly holders: ReadonlySet<string>;
  readonly knowsCaches: boolean;
  /** Position by priority; 0 is the most urgent. */
  readonly rank: number;
  readonly usableMemory: Tokens;
  /** Returns true for zones whose stores the request may use; absent: all. */
  readonly isOpen: ((zone: string) => boolean) | undefined;
}

export abstract class TimedChoice {
  abstract choose(situation: Situation): Choice | undefined;
}

export interface TimedChoiceOptions {
  readonly placement: PlacementOptions;
  readonly classifyDistance: (zone: string) => Distance;
  readonly saltOf: (
    request: DispatchRequest,
    model: string,
    version: number,
  ) => string;
}

/** Makes all daemons prefer the same replica for a new session. */
const AFFINITY_TIME: Milliseconds = 8;

/**
 * Share of the shared tokens that the home of a session in the region is
 * expected to hold, because all daemons of the region send it there.
 */
const EXPECTED_HOME_SHARE = 0.8;

/** Share of its value that a response on old weights loses. */
const OLD_WEIGHTS_LOSS = 0.2;

/** A preempted stream stalls and is prefilled again, which makes it late. */
const PREEMPTION_LOSS: Milliseconds = 1_000;

interface TimedOption {
  readonly replica: Replica;
  readonly version: number;
  readonly salt: string;
  readonly plan: TransferPlan;
  readonly unread: Tokens;
  readonly held: Tokens;
  readonly forecast: Forecast;
  readonly cost: Milliseconds;
  readonly load: ReplicaLoad;
}

export function createTimedChoice(
  { placement, classifyDistance, saltOf }: TimedChoiceOptions,
): TimedChoice {
  const { load, cache, weights, transfers } = placement;
  const { now = () => 0, slownessOf = () => 1 } = placement;
  const mixedPrompts = createMixedPrompts({ now });

  return new (class extends TimedChoice {
    override choose(situation: Situation): Choice | undefined {
      const { request, prompt, usable, candidates, shared } = situation;
      const { preferred, holders, knowsCaches, usableMemory } = situation;
      const { sharedTokens, rank, isOpen } = situation;
      const { service, route } = request;
      const rate = placement.prefillRate(service);
      const weighing = mixedPrompts.weigh({
        ...{ service, route: route.name, rate },
        latencyTarget: route.latencyTarget,
        eventGapTarget: route.eventGapTarget,
        age: now() - request.arrivedAt,
      });
      const memory = prompt.promptTokens + prompt.outputTokens;
      const partsBySalt = new Map<string, readonly SharedPart[]>();
      const own = prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
      // What no replica holds must be prefilled anywhere but at the home.
      const unheld = holders.size > 0 ? 0 : shared.at(-1)?.tokens ?? 0;
      const homeShare = knowsCaches ? 0 : EXPECTED_HOME_SHARE;
      let best: TimedOption | undefined;
      const isWanted = (id: string) => id === preferred || holders.has(id);
      // The cheapest is probably among these, and spares a look at most others.
      for (const replica of candidates) {
        if (isWanted(replica.entry.id)) consider(replica);
      }
      for (const replica of candidates) {
        if (!isWanted(replica.entry.id)) consider(replica);
      }
      if (best === undefined) return undefined;
      const { replica, salt, plan, unread, held, forecast, cost } = best;
      placement.onForecast?.(route.name, forecast);
      return {
        ...{ replica, version: best.version, salt, cost, forecast, held },
        // The last part belongs to this request alone.
        ...(plan.parts === undefined ? {} : { parts: [...plan.parts, {}] }),
        ...{ load: best.load, memory, candidates: usable.length },
        sharedParts: sharedPartsOf(salt),
        unread: Math.round(unread),
        fetched: plan.fetched,
      };

      function sharedPartsOf(salt: string): readonly SharedPart[] {
        const known = partsBySalt.get(salt);
        if (known !== undefined) return known;
        const parts = listSharedParts(shared, salt);
        partsBySalt.set(salt, parts);
        return parts;
      }

      function consider(replica: Replica): void {
        const { id, zone, slots } = replica.entry;
        const version = replica.weights.get(prompt.model) ?? 1;
        if (!weights.mayStart(prompt.model, version)) return;
        const current = load.totalLoad(id);
        const occupancy = weighing.occupy({
          load: current,
          slots,
          slowness: slownessOf(id),
          distance: classifyDistance(zone),
        });
        const isHome = id === preferred;
        const bonus = isHome ? AFFINITY_TIME : 0;
        const isCurrent = version >= weights.target(prompt.model);
        if (best !== undefined) {
          // The holders are those on the newest weights.
          const unread = isHome || !isCurrent ? 0 : unheld;
          const least = weighing.forecast(occupancy, {
            unread: own + unread,
            recomputed: unread * homeShare,
            fetch: 0,
          }).cost;
          if (least - bonus >= best.cost) return;
        }
        const salt = saltOf(request, prompt.model, version);
        let isFull = false;
        if (current.requests > 0 && current.memory + memory > usableMemory) {
          const needed = memory - load.heldByRequests(id, sharedPartsOf(salt));
          isFull = current.memory + needed > usableMemory;
          if (isFull && rank > 0) return;
        }
        const held = cache.held(id, salt, prompt.parts);
        const plan = transfers.plan({
          replica,
          salt,
          shared,
          peers: usable,
          mayUseStores: isCurrent,
          ...(isOpen === undefined ? {} : { isOpen }),
        });
        const atHome = homeShare *
          Math.max(0, sharedTokens - held - plan.fetched);
        const unread = Math.max(
          1,
          prompt.promptTokens - held - plan.fetched - (isHome ? atHome : 0),
        );
        const effort = {
          unread,
          // The home probably has what no known replica has.
          recomputed: Math.max(plan.recomputed, isHome ? 0 : atHome),
          fetch: plan.cost / rate,
        };
        if (!weighing.mayBlock(occupancy, effort)) return;
        const forecast = weighing.forecast(occupancy, effort);
        const cost = forecast.cost - bonus + (isFull ? PREEMPTION_LOSS : 0) +
          (isCurrent ? 0 : route.latencyTarget * OLD_WEIGHTS_LOSS);
        if (best !== undefined && cost >= best.cost) return;
        best = {
          replica,
          version,
          salt,
          plan,
          unread,
          held,
          forecast,
          cost,
          load: current,
        };
      }
    }
  })();
}

function listSharedParts(
  shared: readonly PromptPart[],
  salt: string,
): readonly SharedPart[] {
  return shared.map(({ id, tokens }) => ({ key: `${salt} ${id}`, tokens }));
}
