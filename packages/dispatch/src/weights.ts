/**
 * The weight version that the operator named for each model, and which
 * replicas are to be told next to load it.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Replica } from "./replica.ts";

interface Target {
  readonly version: number;
  /** When this daemon learned of it, on the monotonic clock. */
  readonly since: Milliseconds;
}

export abstract class WeightTargets {
  /**
   * Takes a named version over; lower ones than the present are ignored. A
   * version that was there when this daemon started may have been named long
   * ago, so that no request may begin below it.
   */
  abstract name(
    model: string,
    version: number,
    options?: { readonly isOld: boolean },
  ): void;
  /** The newest version named at least so long ago, or 0. */
  abstract target(model: string, age?: Milliseconds): number;
  /** Time since the newest version was named. */
  abstract age(model: string): Milliseconds;
  /** False when the version is so old that no request may begin on it. */
  abstract mayStart(model: string, version: number): boolean;
  abstract models(): readonly string[];
}

export interface WeightTargetsOptions {
  readonly clock: Clock;
  /** Time from the name of a version until requests may begin on it only. */
  readonly patience: Milliseconds;
}

/**
 * A daemon learns of a version some time after it was named; a request is
 * under way to its replica for some time more.
 */
const MARGIN: Milliseconds = 3_000;

export function createWeightTargets(
  { clock, patience }: WeightTargetsOptions,
): WeightTargets {
  const targets = new Map<string, readonly Target[]>();

  function named(model: string): readonly Target[] {
    return targets.get(model) ?? [];
  }

  return new (class extends WeightTargets {
    override name(
      model: string,
      version: number,
      { isOld } = { isOld: false },
    ): void {
      if (version <= this.target(model)) return;
      const since = isOld ? -Infinity : clock.monotonic();
      const target = { version, since };
      targets.set(model, [...named(model), target].slice(-MAX_TARGETS));
    }

    override target(model: string, age: Milliseconds = 0): number {
      const latest = clock.monotonic() - age;
      const settled = named(model).filter(({ since }) => since <= latest);
      return settled.at(-1)?.version ?? 0;
    }

    override age(model: string): Milliseconds {
      const since = named(model).at(-1)?.since ?? -Infinity;
      return clock.monotonic() - since;
    }

    override mayStart(model: string, version: number): boolean {
      // Each named version is judged from its own time.
      const now = clock.monotonic();
      return named(model).every((target) =>
        version >= target.version || now - target.since < patience - MARGIN
      );
    }

    override models(): readonly string[] {
      return [...targets.keys()];
    }
  })();
}

/** Versions named in quick succession that are remembered. */
const MAX_TARGETS = 64;

/**
 * Replicas of a service that load new weights at the same time. Loads slow
 * each other down above two of the six to eight replicas of today, and above
 * 18 of 63 and 12 of 42 of the grown deployments.
 */
const LOADING_SHARE = 0.28;
const LEAST_LOADING = 2;

/**
 * Share of the bound of a named version over which the loads are spread. A
 * load empties the replica's cache, so loads at once would have all sessions
 * read anew at once.
 */
const SPREAD_SHARE = 0.35;

export interface LoadChoice {
  readonly replicas: readonly Replica[];
  /** Time until the next replicas should start. */
  readonly pause: Milliseconds;
}

/** Replicas behind the target to be told now, given those that load. */
export function chooseNextLoads(
  replicas: readonly Replica[],
  options: {
    readonly model: string;
    readonly target: number;
    readonly loading: ReadonlySet<string>;
    /** Time since the version was named. */
    readonly age: Milliseconds;
    /** Bound for the version to be in place everywhere. */
    readonly patience: Milliseconds;
  },
): LoadChoice {
  const { model, target, loading } = options;
  const behind = replicas.filter(({ entry, weights }) =>
    entry.weights.has(model) && (weights.get(model) ?? 0) < target
  );
  const limit = Math.max(
    LEAST_LOADING,
    Math.floor(replicas.length * LOADING_SHARE),
  );
  const busy = behind.filter(({ entry }) => loading.has(entry.id)).length;
  // The oldest first: each version that was named has a bound of its own.
  const waiting = behind
    .filter(({ entry }) => !loading.has(entry.id) && entry.state === "ready")
    .sort((left, right) =>
      (left.weights.get(model) ?? 0) - (right.weights.get(model) ?? 0)
    );
  const chosen = waiting.slice(0, Math.max(0, limit - busy));
  const rounds = Math.ceil((waiting.length - chosen.length) / limit);
  const left = options.patience * SPREAD_SHARE - options.age;
  const pause = rounds === 0 ? 0 : Math.max(0, left / rounds);
  return { replicas: chosen, pause };
}
