/**
 * Relays the reports that this daemon polled to its peers. Each digest contains
 * as many reports as fit, longest waiting first.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, LoadReport, Milliseconds } from "@peridotvalve/types";
import { measureJson } from "./delta_table.ts";
import type { StoredReport } from "./reports.ts";
import { packEntry, replicaKey } from "./packed.ts";
import {
  type Digest,
  encodeLongReport,
  encodeShortReport,
  type LongReport,
} from "./wire.ts";

export type RelayedReports = Pick<Digest, "r" | "p">;

const JSON_OVERHEAD: Bytes = `{"r":{},"p":""},`.length;

/**
 * Older reports are not relayed. A daemon that has just started sees no peers
 * and polls every replica of its zone once; relaying that backlog would take
 * minutes.
 */
const MAX_RELAY_AGE: Milliseconds = 5_000;

/**
 * Maximum short forms in a row. The long form is then sent again, for peers
 * that missed it.
 */
const MAX_CONSECUTIVE_SHORT_FORMS = 9;

interface RelayedReport {
  readonly report: LoadReport;
  readonly shortForms: number;
}

export interface ReportRelay {
  /** Queues the replica's newest report for the next digests. */
  enqueue(replica: string): void;
  /** Takes queued reports of at most `limit` bytes of JSON. */
  compose(limit: Bytes): RelayedReports;
  /** Removes the state of all other replicas. */
  retain(replicas: ReadonlySet<string>): void;
}

export function createReportRelay(
  clock: Clock,
  find: (replica: string) => StoredReport | undefined,
): ReportRelay {
  const pending = new Set<string>();
  const relayed = new Map<string, RelayedReport>();

  function canUseShortForm(replica: string, report: LoadReport): boolean {
    const last = relayed.get(replica);
    return last !== undefined &&
      last.shortForms < MAX_CONSECUTIVE_SHORT_FORMS &&
      last.report.incarnation === report.incarnation &&
      last.report.weights === report.weights &&
      last.report.state === report.state;
  }

  function measureLongForm(replica: string, longForm: LongReport): Bytes {
    return measureJson(replica) + measureJson(longForm) + 2;
  }

  function compose(limit: Bytes): RelayedReports {
    const long: Record<string, LongReport> = {};
    let short = "";
    let remaining = limit - JSON_OVERHEAD;
    for (const replica of [...pending]) {
      const stored = find(replica);
      if (stored === undefined) continue;
      const { report } = stored;
      const age = Math.max(0, clock.monotonic() - stored.createdAt);
      if (age > MAX_RELAY_AGE) {
        pending.delete(replica);
        continue;
      }
      const entry = canUseShortForm(replica, report)
        ? packEntry(replicaKey(replica), encodeShortReport(report, age))
        : undefined;
      const longForm = encodeLongReport(report, age);
      const size = entry?.length ?? measureLongForm(replica, longForm);
      // A long form that never fits must not block the others.
      if (size > remaining) continue;
      remaining -= size;
      if (entry === undefined) long[replica] = longForm;
      else short += entry;
      pending.delete(replica);
      const shortForms = entry === undefined
        ? 0
        : (relayed.get(replica)?.shortForms ?? 0) + 1;
      relayed.set(replica, { report, shortForms });
    }
    return {
      ...(Object.keys(long).length > 0 && { r: long }),
      ...(short !== "" && { p: short }),
    };
  }

  return {
    compose,
    enqueue: (replica) => void pending.add(replica),
    retain(replicas) {
      for (const replica of [...pending, ...relayed.keys()]) {
        if (replicas.has(replica)) continue;
        pending.delete(replica);
        relayed.delete(replica);
      }
    },
  };
}
