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
  /** Takes a named version over; lower ones than the present are ignored. */
  abstract name(model: string, version: number): void;
  /** The newest version named, or 0. */
  abstract target(model: string): number;
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
const MARGIN: Milliseconds = 1_500;

export function createWeightTargets(
  { clock, patience }: WeightTargetsOptions,
): WeightTargets {
  const targets = new Map<string, readonly Target[]>();

  function named(model: string): readonly Target[] {
    return targets.get(model) ?? [];
  }

  return new (class extends WeightTargets {
    override name(model: string, version: number): void {
      if (version <= this.target(model)) return;
      const target = { version, since: clock.monotonic() };
      targets.set(model, [...named(model), target].slice(-MAX_TARGETS));
    }

    override target(model: string): number {
      return named(model).at(-1)?.version ?? 0;
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

/** Replicas behind the target to be told now, given those that load. */
export function chooseNextLoads(
  replicas: readonly Replica[],
  options: {
    readonly model: string;
    readonly target: number;
    readonly loading: ReadonlySet<string>;
  },
): readonly Replica[] {
  const { model, target, loading } = options;
  const behind = replicas.filter(({ entry, weights }) =>
    entry.weights.has(model) && (weights.get(model) ?? 0) < target
  );
  const limit = Math.max(
    LEAST_LOADING,
    Math.floor(replicas.length * LOADING_SHARE),
  );
  const busy = behind.filter(({ entry }) => loading.has(entry.id)).length;
  return behind
    .filter(({ entry }) => !loading.has(entry.id) && entry.state === "ready")
    .slice(0, Math.max(0, limit - busy));
}
