/**
 * Stores the newest load report of each replica with its estimated time of
 * creation. Reports are ordered by this time on the local monotonic clock, not
 * by the clocks of other VMs.
 */
import type { Clock } from "@peridotvalve/clock";
import type { LoadReport, Milliseconds } from "@peridotvalve/types";

/** Assumed age of a report on arrival if the replica's clock is unusable. */
const ASSUMED_LAG: Milliseconds = 500;

/** A larger minimum difference means that one of the clocks is wrong. */
const MAX_PLAUSIBLE_LAG: Milliseconds = 5_000;

/** A larger increase of the difference means that one of the clocks jumped. */
const CLOCK_JUMP_THRESHOLD: Milliseconds = 60_000;

const MAX_PREVIOUS_INCARNATIONS = 4;

export interface StoredReport {
  readonly report: LoadReport;
  /** Estimated time of creation on the local monotonic clock. */
  readonly createdAt: Milliseconds;
}

interface Entry extends StoredReport {
  readonly previousIncarnations: readonly string[];
}

export interface Reports {
  /** Records a report that this daemon has just polled. */
  recordPolled(replica: string, report: LoadReport): void;
  /** Records a report that a peer relayed, with its age. */
  recordRelayed(replica: string, report: LoadReport, age: Milliseconds): void;
  find(replica: string): StoredReport | undefined;
  /** Removes the reports of all other replicas. */
  retain(replicas: ReadonlySet<string>): void;
}

export function createReports(clock: Clock): Reports {
  const entries = new Map<string, Entry>();
  const minimumDifferences = new Map<string, Milliseconds>();

  /**
   * Age of a polled report. The difference of the wall clocks is used if its
   * minimum is plausible; otherwise its excess over the minimum plus an assumed
   * lag.
   */
  function estimateAge(replica: string, report: LoadReport): Milliseconds {
    const difference = clock.now() - report.at;
    const previousMinimum = minimumDifferences.get(replica) ?? difference;
    const hasJumped = difference - previousMinimum > CLOCK_JUMP_THRESHOLD;
    const minimum = hasJumped
      ? difference
      : Math.min(previousMinimum, difference);
    minimumDifferences.set(replica, minimum);
    const isPlausible = minimum >= 0 && minimum <= MAX_PLAUSIBLE_LAG;
    return isPlausible ? difference : difference - minimum + ASSUMED_LAG;
  }

  function store(replica: string, report: LoadReport, age: Milliseconds): void {
    const createdAt = clock.monotonic() - age;
    const stored = entries.get(replica);
    if (stored === undefined) {
      entries.set(replica, {
        report,
        createdAt,
        previousIncarnations: [],
      });
      return;
    }
    const { incarnation } = report;
    if (
      createdAt < stored.createdAt ||
      stored.previousIncarnations.includes(incarnation)
    ) return;
    const isNewIncarnation = incarnation !== stored.report.incarnation;
    const previousIncarnations = isNewIncarnation
      ? [stored.report.incarnation, ...stored.previousIncarnations].slice(
        0,
        MAX_PREVIOUS_INCARNATIONS,
      )
      : stored.previousIncarnations;
    entries.set(replica, {
      report,
      createdAt,
      previousIncarnations,
    });
  }

  return {
    recordPolled(replica, report) {
      store(replica, report, estimateAge(replica, report));
    },
    recordRelayed: store,
    find: (replica) => entries.get(replica),
    retain(replicas) {
      for (const replica of [...entries.keys()]) {
        if (replicas.has(replica)) continue;
        entries.delete(replica);
        minimumDifferences.delete(replica);
      }
    },
  };
}
