/**
 * Passes the reports that this daemon polled on to its peers, oldest first, as
 * many as fit.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, LoadReport, Milliseconds } from "@peridotvalve/types";
import { measureJson } from "./delta_table.ts";
import type { HeldReport } from "./reports.ts";
import { packEntry, replicaKey } from "./packed.ts";
import { type Digest, type LongReport, toLong, toShort } from "./wire.ts";

export type PassedReports = Pick<Digest, "r" | "p">;

const FRAME: Bytes = `{"r":{},"p":""},`.length;

/**
 * Older reports are not passed on. A daemon that has just started sees no
 * peers, polls every replica of its zone once and would otherwise work off
 * these reports for minutes.
 */
const MAX_AGE: Milliseconds = 5_000;

/** Short forms in a row, so that a peer that missed the long one gets it. */
const MAX_SHORT = 9;

interface Passed {
  readonly report: LoadReport;
  readonly shortForms: number;
}

export interface ReportRelay {
  /** Marks a replica's report as new. */
  offer(replica: string): void;
  compose(limit: Bytes): PassedReports;
  retain(replicas: ReadonlySet<string>): void;
}

export function createReportRelay(
  clock: Clock,
  find: (replica: string) => HeldReport | undefined,
): ReportRelay {
  const offered = new Set<string>();
  const passed = new Map<string, Passed>();

  function isShort(replica: string, report: LoadReport): boolean {
    const last = passed.get(replica);
    return last !== undefined && last.shortForms < MAX_SHORT &&
      last.report.incarnation === report.incarnation &&
      last.report.weights === report.weights &&
      last.report.state === report.state;
  }

  function measureLong(replica: string, wire: LongReport): Bytes {
    return measureJson(replica) + measureJson(wire) + 2;
  }

  function compose(limit: Bytes): PassedReports {
    const long: Record<string, LongReport> = {};
    let short = "";
    let room = limit - FRAME;
    for (const replica of [...offered]) {
      const held = find(replica);
      if (held === undefined) continue;
      const { report } = held;
      const age = Math.max(0, clock.monotonic() - held.made);
      if (age > MAX_AGE) {
        offered.delete(replica);
        continue;
      }
      const entry = isShort(replica, report)
        ? packEntry(replicaKey(replica), toShort(report, age))
        : undefined;
      const wire = toLong(report, age);
      const cost = entry?.length ?? measureLong(replica, wire);
      // A long form that never fits must not stop the others.
      if (cost > room) continue;
      room -= cost;
      if (entry === undefined) long[replica] = wire;
      else short += entry;
      offered.delete(replica);
      const shortForms = entry === undefined
        ? 0
        : (passed.get(replica)?.shortForms ?? 0) + 1;
      passed.set(replica, { report, shortForms });
    }
    return {
      ...(Object.keys(long).length > 0 && { r: long }),
      ...(short !== "" && { p: short }),
    };
  }

  return {
    compose,
    offer: (replica) => void offered.add(replica),
    retain(replicas) {
      for (const replica of [...offered, ...passed.keys()]) {
        if (replicas.has(replica)) continue;
        offered.delete(replica);
        passed.delete(replica);
      }
    },
  };
}
