/**
 * Tracks the weight version that the operator has named for each model, and
 * plans which replicas load it next.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { Replica } from "./replica.ts";

interface NamedVersion {
  readonly version: number;
  /** Time at which this daemon learned of it; it was named by then. */
  readonly learnedAt: Milliseconds;
  /** Time on the suspend-aware clock after which it was named. */
  readonly namedAfter: Milliseconds;
}

export abstract class WeightTargets {
  /**
   * Records a named version; versions below the current one are ignored. With
   * `isOld`, the version already existed when this daemon started. It may have
   * been named long ago, so no request may start below it.
   */
  abstract name(
    model: string,
    version: number,
    options?: { readonly isOld: boolean },
  ): void;
  /**
   * The newest version that was certainly named at least `age` ago, or 0. What
   * no request may use any more is derived from it.
   */
  abstract target(model: string, age?: Milliseconds): number;
  /** The longest time for which the newest version may have been named. */
  abstract age(model: string): Milliseconds;
  /** False when the version is too old for a request to start on it. */
  abstract mayStart(model: string, version: number): boolean;
  abstract models(): readonly string[];
}

export interface WeightTargetsOptions {
  readonly clock: Clock;
  /** Counts suspensions of the VM in the grace period; `clock` by default. */
  readonly suspendAwareClock?: Clock;
  /**
   * Time on the suspend-aware clock since which a version that is learned of now
   * may have been named; the present time by default. Earlier after a standstill
   * of the process, which learns only then of what was named meanwhile.
   */
  readonly unheardSince?: () => Milliseconds;
  /**
   * Time after the naming of a version during which requests may still start on
   * the version before it.
   */
  readonly patience: () => Milliseconds;
}

/**
 * Covers the delay until a daemon learns of a new version, and the time that a
 * request takes to start on its replica.
 */
const PROPAGATION_MARGIN: Milliseconds = 3_000;

export function createWeightTargets(
  {
    clock,
    patience,
    suspendAwareClock = clock,
    unheardSince = () => suspendAwareClock.monotonic(),
  }: WeightTargetsOptions,
): WeightTargets {
  const namedVersions = new Map<string, readonly NamedVersion[]>();

  function versionsOf(model: string): readonly NamedVersion[] {
    return namedVersions.get(model) ?? [];
  }

  return new (class extends WeightTargets {
    override name(
      model: string,
      version: number,
      { isOld } = { isOld: false },
    ): void {
      if (version <= this.target(model)) return;
      const target = {
        version,
        learnedAt: isOld ? -Infinity : clock.monotonic(),
        namedAfter: isOld ? -Infinity : unheardSince(),
      };
      namedVersions.set(
        model,
        [...versionsOf(model), target].slice(-MAX_NAMED_VERSIONS),
      );
    }

    override target(model: string, age: Milliseconds = 0): number {
      const latest = clock.monotonic() - age;
      const settled = versionsOf(model).filter(({ learnedAt }) =>
        learnedAt <= latest
      );
      return settled.at(-1)?.version ?? 0;
    }

    override age(model: string): Milliseconds {
      const namedAfter = versionsOf(model).at(-1)?.namedAfter ?? -Infinity;
      return suspendAwareClock.monotonic() - namedAfter;
    }

    override mayStart(model: string, version: number): boolean {
      // Each named version has its own grace period.
      const now = suspendAwareClock.monotonic();
      return versionsOf(model).every((target) =>
        version >= target.version ||
        now - target.namedAfter < patience() - PROPAGATION_MARGIN
      );
    }

    override models(): readonly string[] {
      return [...namedVersions.keys()];
    }
  })();
}

/** Maximum number of named versions remembered for a model. */
const MAX_NAMED_VERSIONS = 64;

/**
 * Share of a service's replicas that may load new weights at the same time.
 * Loads slow each other down above 2 of 6 to 8 replicas, above 18 of 63, and
 * above 12 of 42.
 */
const MAX_LOADING_SHARE = 0.28;
const MIN_LOADING_LIMIT = 2;

/**
 * Share of the grace period over which the loads are spread. A load empties the
 * replica's cache, so simultaneous loads would make all sessions prefill again
 * at once.
 */
const ROLLOUT_SPREAD_SHARE = 0.35;

export interface WeightLoadPlan {
  readonly replicas: readonly Replica[];
  /** Time until the next loads should start. */
  readonly pause: Milliseconds;
}

/**
 * Chooses the outdated replicas that should load the target version now, given
 * those that are already loading.
 */
export function planWeightLoads(
  replicas: readonly Replica[],
  options: {
    readonly model: string;
    readonly target: number;
    readonly loading: ReadonlySet<string>;
    /** Time since the target version was named. */
    readonly age: Milliseconds;
    /** Time within which every replica must have loaded the version. */
    readonly patience: Milliseconds;
  },
): WeightLoadPlan {
  const { model, target, loading } = options;
  const outdated = replicas.filter(({ entry, weights }) =>
    entry.weights.has(model) && (weights.get(model) ?? 0) < target
  );
  const limit = Math.max(
    MIN_LOADING_LIMIT,
    Math.floor(replicas.length * MAX_LOADING_SHARE),
  );
  const loadingCount =
    outdated.filter(({ entry }) => loading.has(entry.id)).length;
  // Oldest versions first, because each named version has a deadline of its
  // own.
  const pending = outdated
    .filter(({ entry }) => !loading.has(entry.id) && entry.state === "ready")
    .sort((left, right) =>
      (left.weights.get(model) ?? 0) - (right.weights.get(model) ?? 0)
    );
  const chosen = pending.slice(0, Math.max(0, limit - loadingCount));
  const rounds = Math.ceil((pending.length - chosen.length) / limit);
  const remaining = options.patience * ROLLOUT_SPREAD_SHARE - options.age;
  const pause = rounds === 0 ? 0 : Math.max(0, remaining / rounds);
  return { replicas: chosen, pause };
}
