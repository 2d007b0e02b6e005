/**
 * The newest load report of each replica, with an estimate of when it was
 * made on this daemon's monotonic clock. Clocks of other VMs are not compared.
 */
import type { Clock } from "@peridotvalve/clock";
import type { LoadReport, Milliseconds } from "@peridotvalve/types";

/** Age of a report on arrival when the replica's clock says nothing usable. */
const ASSUMED_LAG: Milliseconds = 500;

/** A greater least difference of clocks is an error of one of them. */
const MAX_PLAUSIBLE_LAG: Milliseconds = 5_000;

/** A difference that grew by more than this is a jump of a clock. */
const JUMP: Milliseconds = 60_000;

const MAX_RETIRED = 4;

export interface HeldReport {
  readonly report: LoadReport;
  /** When it was made, on the own monotonic clock. */
  readonly made: Milliseconds;
}

interface Entry extends HeldReport {
  readonly retired: readonly string[];
}

export interface Reports {
  /** A report that this daemon has just polled. */
  takePolled(replica: string, report: LoadReport): void;
  /** A report that a peer passed on, with its age. */
  takePassed(replica: string, report: LoadReport, age: Milliseconds): void;
  find(replica: string): HeldReport | undefined;
  /** Forgets the replicas that are not named. */
  retain(replicas: ReadonlySet<string>): void;
}

export function createReports(clock: Clock): Reports {
  const entries = new Map<string, Entry>();
  const leastDifference = new Map<string, Milliseconds>();

  function estimateAge(replica: string, report: LoadReport): Milliseconds {
    const difference = clock.now() - report.at;
    const held = leastDifference.get(replica) ?? difference;
    const hasJumped = difference - held > JUMP;
    const least = hasJumped ? difference : Math.min(held, difference);
    leastDifference.set(replica, least);
    const isPlausible = least >= 0 && least <= MAX_PLAUSIBLE_LAG;
    return isPlausible ? difference : difference - least + ASSUMED_LAG;
  }

  function take(replica: string, report: LoadReport, age: Milliseconds): void {
    const made = clock.monotonic() - age;
    const held = entries.get(replica);
    if (held === undefined) {
      entries.set(replica, { report, made, retired: [] });
      return;
    }
    const { incarnation } = report;
    if (made < held.made || held.retired.includes(incarnation)) return;
    const isNew = incarnation !== held.report.incarnation;
    const retired = isNew
      ? [held.report.incarnation, ...held.retired].slice(0, MAX_RETIRED)
      : held.retired;
    entries.set(replica, { report, made, retired });
  }

  return {
    takePolled(replica, report) {
      take(replica, report, estimateAge(replica, report));
    },
    takePassed: take,
    find: (replica) => entries.get(replica),
    retain(replicas) {
      for (const replica of [...entries.keys()]) {
        if (replicas.has(replica)) continue;
        entries.delete(replica);
        leastDifference.delete(replica);
      }
    },
  };
}
