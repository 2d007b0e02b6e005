/**
 * Detects slow replicas from the token gaps of this daemon's own streams,
 * earlier than delayed load reports could. A replica is compared with the other
 * replicas of its model group, so that a burst that slows all of them marks
 * none as slow. All statistics are medians, because single long gaps are
 * normal.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaHealth } from "./candidate.ts";

export interface GapSample {
  readonly kind: "first token" | "between tokens";
  /** Observed gap; for a stream that is still waiting, the wait so far. */
  readonly gap: Milliseconds;
  /** Gap expected from the placement estimate or the group's usual rate. */
  readonly expected: Milliseconds;
}

export abstract class SlownessDetector {
  /** Records a gap of one of this daemon's streams. */
  abstract record(replica: string, sample: GapSample): void;

  /** Records that a request is sent to a slow replica as a probe. */
  abstract recordProbe(replica: string): void;

  /** Removes the state of a replica that left or restarted. */
  abstract forget(replica: string): void;

  abstract healthOf(replica: string): ReplicaHealth;

  /** Whether one request may be sent to a slow replica as a probe. */
  abstract isProbeDue(replica: string): boolean;
}

export interface SlownessOptions {
  readonly clock: Clock;
  /** Multiple of the group's median from which a replica counts as slow. */
  readonly slowFactor?: number;
  /** Time after which a slow replica may be probed. */
  readonly probeAfter?: Milliseconds;
}

/**
 * Normal replicas differ by some tens of percent, stalled ones by a multiple.
 */
const DEFAULT_SLOW_FACTOR = 3;

/** Fraction of the slow factor from which a replica is suspect. */
const SUSPECT_FRACTION = 0.6;

const DEFAULT_PROBE_AFTER: Milliseconds = 5_000;

/** Maximum samples that are kept of each replica. */
const WINDOW_SIZE = 11;

/** Newest samples, whose median shows a burst of the whole group early. */
const RECENT_SAMPLES = 5;

/** Consecutive comparisons after which a replica counts as slow. */
const REQUIRED_SLOW_COMPARISONS = 3;

/** Older samples do not represent the current speed. */
const SAMPLE_MAX_AGE: Milliseconds = 10_000;

/** Samples of a replica that a comparison needs. */
const MINIMUM_SAMPLES = 5;

/** Other replicas with enough samples that a comparison needs. */
const MINIMUM_PEERS = 2;

/**
 * Robust z-score that a suspect or slow replica must reach besides the factor.
 */
const MINIMUM_DEVIATIONS = 4;

/** Scales the median absolute deviation (MAD) to a standard deviation. */
const MAD_SCALE = 1.4826;

/**
 * Minimum spread relative to the median, for groups of almost equal replicas.
 */
const MINIMUM_SPREAD = 0.1;

/** Shorter expected gaps are dominated by scheduler noise. */
const MINIMUM_EXPECTED: Milliseconds = 5;

/** Maximum age of the group's median in the approximate comparison. */
const GROUP_MEDIAN_MAX_AGE: Milliseconds = 200;

/** Samples after a probe that are needed to compare a slow replica again. */
const RECOVERY_SAMPLES = 3;

interface TimedRatio {
  readonly ratio: number;
  readonly at: Milliseconds;
}

interface ReplicaState {
  samples: readonly TimedRatio[];
  health: ReplicaHealth;
  /** Number of consecutive comparisons that found the replica slow. */
  consecutiveSlow: number;
  classifiedAt: Milliseconds;
  slowSince: Milliseconds | undefined;
  probedAt: Milliseconds | undefined;
}

interface GroupMedian {
  readonly median: number;
  readonly at: Milliseconds;
}

export function createSlownessDetector(
  options: SlownessOptions,
): SlownessDetector {
  const { clock } = options;
  const slowFactor = options.slowFactor ?? DEFAULT_SLOW_FACTOR;
  const probeAfter = options.probeAfter ?? DEFAULT_PROBE_AFTER;
  const replicas = new Map<string, ReplicaState>();
  let groupMedian: GroupMedian | undefined;

  function stateOf(replica: string): ReplicaState {
    const known = replicas.get(replica);
    if (known !== undefined) return known;
    const state: ReplicaState = {
      samples: [],
      health: "healthy",
      consecutiveSlow: 0,
      classifiedAt: 0,
      slowSince: undefined,
      probedAt: undefined,
    };
    replicas.set(replica, state);
    return state;
  }

  function freshRatios(state: ReplicaState): readonly number[] {
    const oldest = clock.monotonic() - SAMPLE_MAX_AGE;
    return state.samples
      .filter((sample) => sample.at >= oldest)
      .map((sample) => sample.ratio);
  }

  /**
   * Medians of the replicas that are not slow and have enough samples. The
   * median of the newest samples is used if it is higher. Otherwise, when a
   * burst slows the whole group, the first replica whose window is filled by
   * the burst would be compared with peers whose windows still show the time
   * before it.
   */
  function listMedians(except?: string): readonly number[] {
    const medians: number[] = [];
    for (const [name, state] of replicas) {
      if (name === except || state.slowSince !== undefined) continue;
      const ratios = freshRatios(state);
      if (ratios.length < MINIMUM_SAMPLES) continue;
      const recent = medianOf(ratios.slice(0, RECENT_SAMPLES));
      medians.push(Math.max(recent, medianOf(ratios)));
    }
    return medians;
  }

  /** The group's median, at most `GROUP_MEDIAN_MAX_AGE` old. */
  function approximateGroupMedian(): number {
    const now = clock.monotonic();
    if (
      groupMedian === undefined || now - groupMedian.at > GROUP_MEDIAN_MAX_AGE
    ) {
      const medians = listMedians();
      const median = medians.length === 0 ? 0 : medianOf(medians);
      groupMedian = { median, at: now };
    }
    return groupMedian.median;
  }

  function classify(replica: string, ratios: readonly number[]): ReplicaHealth {
    const peers = listMedians(replica);
    if (peers.length < MINIMUM_PEERS) return "healthy";
    const own = medianOf(ratios);
    const peerMedian = medianOf(peers);
    const distances = peers.map((value) => Math.abs(value - peerMedian));
    const spread = Math.max(
      MINIMUM_SPREAD * peerMedian,
      MAD_SCALE * medianOf(distances),
    );
    if (own - peerMedian < MINIMUM_DEVIATIONS * spread) return "healthy";
    if (own >= slowFactor * peerMedian) return "slow";
    return own >= suspectThreshold(peerMedian) ? "suspect" : "healthy";
  }

  function suspectThreshold(median: number): number {
    return median * slowFactor * SUSPECT_FRACTION;
  }

  /**
   * Marks a slow replica as healthy after good samples, or extends its slow
   * state.
   */
  function updateSlow(replica: string, state: ReplicaState): void {
    const ratios = freshRatios(state);
    if (ratios.length < RECOVERY_SAMPLES) return;
    const health = classify(replica, ratios);
    if (health === "healthy") {
      state.slowSince = undefined;
      state.probedAt = undefined;
    } else {
      state.samples = [];
      state.slowSince = clock.monotonic();
    }
    state.health = health === "healthy" ? "healthy" : "slow";
  }

  function updateHealth(replica: string, state: ReplicaState): void {
    const ratios = freshRatios(state);
    state.classifiedAt = clock.monotonic();
    const health = ratios.length < MINIMUM_SAMPLES
      ? "healthy"
      : classify(replica, ratios);
    state.consecutiveSlow = health === "slow" ? state.consecutiveSlow + 1 : 0;
    if (state.consecutiveSlow < REQUIRED_SLOW_COMPARISONS) {
      state.health = health === "healthy" ? "healthy" : "suspect";
      return;
    }
    state.health = "slow";
    state.consecutiveSlow = 0;
    state.slowSince = clock.monotonic();
    state.samples = [];
  }

  return new (class extends SlownessDetector {
    override record(replica: string, sample: GapSample): void {
      const state = stateOf(replica);
      const expected = Math.max(MINIMUM_EXPECTED, sample.expected);
      const ratio = sample.gap / expected;
      const timed = { ratio, at: clock.monotonic() };
      state.samples = [timed, ...state.samples].slice(0, WINDOW_SIZE);
      if (state.slowSince !== undefined) return updateSlow(replica, state);
      // A median can rise above the threshold only when a sample above it
      // arrives, so the expensive comparison is skipped for other samples.
      const isOrdinary = ratio < suspectThreshold(approximateGroupMedian());
      if (isOrdinary && state.health === "healthy") return;
      updateHealth(replica, state);
    }

    override recordProbe(replica: string): void {
      stateOf(replica).probedAt = clock.monotonic();
    }

    override forget(replica: string): void {
      replicas.delete(replica);
    }

    override healthOf(replica: string): ReplicaHealth {
      const state = replicas.get(replica);
      if (state === undefined) return "healthy";
      if (state.health !== "suspect") return state.health;
      const isStale = clock.monotonic() - state.classifiedAt > SAMPLE_MAX_AGE;
      return isStale ? "healthy" : "suspect";
    }

    override isProbeDue(replica: string): boolean {
      const state = replicas.get(replica);
      if (state?.slowSince === undefined) return false;
      const last = Math.max(state.slowSince, state.probedAt ?? 0);
      return clock.monotonic() - last >= probeAfter;
    }
  })();
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle]!;
  return sorted.length % 2 === 1 ? upper : (sorted[middle - 1]! + upper) / 2;
}
