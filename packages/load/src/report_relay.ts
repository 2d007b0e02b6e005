/**
 * Passes the reports that this daemon polled on to its peers, oldest first, as
 * many as fit.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, LoadReport } from "@peridotvalve/types";
import { measureJson } from "./delta_table.ts";
import type { HeldReport } from "./reports.ts";
import { toLong, toShort, type WireReport } from "./wire.ts";

/** Short forms in a row, so that a peer that missed the long one gets it. */
const MAX_SHORT = 3;

interface Passed {
  readonly report: LoadReport;
  readonly shortForms: number;
}

export interface ReportRelay {
  /** Marks a replica's report as new. */
  offer(replica: string): void;
  compose(limit: Bytes): Readonly<Record<string, WireReport>> | undefined;
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

  function compose(limit: Bytes) {
    const reports: Record<string, WireReport> = {};
    let room = limit;
    for (const replica of [...offered]) {
      const held = find(replica);
      if (held === undefined) continue;
      const { report } = held;
      const age = Math.max(0, clock.monotonic() - held.made);
      const short = isShort(replica, report);
      const wire = short ? toShort(report, age) : toLong(report, age);
      const cost = measureJson(replica) + measureJson(wire) + 2;
      if (cost > room) break;
      room -= cost;
      reports[replica] = wire;
      offered.delete(replica);
      const shortForms = short ? (passed.get(replica)?.shortForms ?? 0) + 1 : 0;
      passed.set(replica, { report, shortForms });
    }
    return room === limit ? undefined : reports;
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
