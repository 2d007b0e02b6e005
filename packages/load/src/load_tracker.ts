/**
 * Estimates the current load of each replica from its newest report and from
 * the dispatches that the report does not include yet.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, LoadReport, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Dispatch,
  type LoadEstimate,
  LoadTracker,
  type UnreportedLoad,
} from "./load.ts";
import {
  createDeltaCopy,
  createDeltaSource,
  type Delta,
  type DeltaCopy,
  type ReceivedEntry,
} from "./delta_table.ts";
import { createLinkUsage } from "./link_usage.ts";
import { createReportRelay } from "./report_relay.ts";
import { createReports } from "./reports.ts";
import { linkKey, replicaKey, unpackEntries, type Values } from "./packed.ts";
import {
  decodeLongReport,
  decodeShortReport,
  type Digest,
  digestSchema,
} from "./wire.ts";

interface TimedDispatch extends Dispatch {
  readonly at: Milliseconds;
}

const NO_LOAD: UnreportedLoad = { count: 0, tokens: 0 };

/** A link entry has one number; a replica entry has two. */
const LINK_ENTRY_LENGTH = 1;

/**
 * Fraction of the space that load reports may use in every second digest. In
 * the other digests they may use all of it, because a report in the long form
 * can need more than this fraction.
 */
const REPORT_FRACTION = 0.5;

export function createLoadTracker(clock: Clock): LoadTracker {
  const reports = createReports(clock);
  const reportRelay = createReportRelay(clock, reports.find);
  const deltaSource = createDeltaSource(clock);
  const linkUsage = createLinkUsage(clock);
  const dispatches = new Map<string, Map<string, TimedDispatch>>();
  const peerCopies = new Map<string, DeltaCopy>();
  /** Names of the replicas with a report, by key. */
  const replicaNames = new Map<string, string>();
  let digestCount = 0;
  /**
   * Cached index of the peers' entries; undefined after a peer's copy changed.
   */
  let entriesByKey: ReadonlyMap<string, readonly ReceivedEntry[]> | undefined;

  function reportTime(replica: string): Milliseconds {
    return reports.find(replica)?.createdAt ?? -Infinity;
  }

  function ownUnreported(replica: string): UnreportedLoad {
    const reportedAt = reportTime(replica);
    const pending = [...dispatches.get(replica)?.values() ?? []];
    return sumUnreported(
      pending.filter((dispatch) => dispatch.at > reportedAt)
        .map(({ tokens }) => ({ count: 1, tokens })),
    );
  }

  function peerUnreported(replica: string): UnreportedLoad {
    const reportedAt = reportTime(replica);
    let total = NO_LOAD;
    for (
      const { at, values } of indexPeerEntries().get(replicaKey(replica)) ?? []
    ) {
      if (at <= reportedAt) continue;
      const [count = 0, tokens = 0] = values;
      total = {
        count: total.count + count,
        tokens: total.tokens + tokens,
      };
    }
    return total;
  }

  /**
   * Entries of all peers by key. The index avoids a lookup in every peer for
   * each candidate, since most peers have no entry for most replicas.
   */
  function indexPeerEntries(): ReadonlyMap<string, readonly ReceivedEntry[]> {
    if (entriesByKey !== undefined) return entriesByKey;
    const index = new Map<string, ReceivedEntry[]>();
    for (const copy of peerCopies.values()) {
      for (const [key, entry] of copy.entries()) {
        const known = index.get(key);
        if (known === undefined) index.set(key, [entry]);
        else known.push(entry);
      }
    }
    entriesByKey = index;
    return index;
  }

  /** Updates the table from which digests are built. */
  function refreshDeltaSource(): void {
    const current = new Map<string, readonly number[]>();
    for (const replica of dispatches.keys()) {
      const { count, tokens } = ownUnreported(replica);
      if (count > 0) addValues(current, replicaKey(replica), [count, tokens]);
    }
    for (const [customer, rate] of linkUsage.rates()) {
      addValues(current, linkKey(customer), [rate]);
    }
    for (const key of [...deltaSource.entries().keys()]) {
      if (!current.has(key)) deltaSource.remove(key);
    }
    for (const [key, values] of current) deltaSource.set(key, values);
  }

  function composeDigest(limit: Bytes): Digest | undefined {
    refreshDeltaSource();
    digestCount += 1;
    const fraction = digestCount % 2 === 0 ? REPORT_FRACTION : 1;
    const relayed = reportRelay.compose(limit * fraction);
    const hasRelayed = Object.keys(relayed).length > 0;
    const used = hasRelayed ? JSON.stringify(relayed).length : 0;
    const delta = deltaSource.compose(limit - used);
    if (!hasRelayed && delta === undefined) return undefined;
    return { ...delta as Digest, ...relayed };
  }

  function recordLongReports(longReports: NonNullable<Digest["r"]>): void {
    for (const [replica, wire] of Object.entries(longReports)) {
      const { report, age } = decodeLongReport(wire, clock.now());
      reports.recordRelayed(replica, report, age);
      replicaNames.set(replicaKey(replica), replica);
    }
  }

  function recordShortReports(
    shortReports: ReadonlyMap<string, Values | undefined>,
  ): void {
    for (const [key, values = []] of shortReports) {
      const replica = replicaNames.get(key);
      const stored = replica && reports.find(replica);
      if (!replica || !stored) continue;
      const received = decodeShortReport(values, stored.report, clock.now());
      if (received === undefined) continue;
      reports.recordRelayed(replica, received.report, received.age);
    }
  }

  function applyPeerDigest(
    peer: string,
    digest: unknown,
  ): Result<void, string> {
    const parsed = digestSchema.safeParse(digest);
    if (!parsed.success) return Err(parsed.error.message);
    const short = unpackEntries(parsed.data.p ?? "");
    if (short.isErr()) return short;
    const copy = peerCopies.get(peer) ?? createDeltaCopy(clock);
    peerCopies.set(peer, copy);
    const applied = copy.apply(parsed.data as Delta);
    entriesByKey = undefined;
    if (applied.isErr()) return applied;
    recordLongReports(parsed.data.r ?? {});
    recordShortReports(short.value);
    return Ok(undefined);
  }

  function ownLinkRate(customer?: string): Bytes {
    const rates = linkUsage.rates();
    if (customer !== undefined) return rates.get(customer) ?? 0;
    return [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  }

  function peerLinkRate(copy: DeltaCopy, customer?: string): Bytes {
    const wanted = customer === undefined ? undefined : linkKey(customer);
    let sum = 0;
    for (const [key, { values }] of copy.entries()) {
      if (values.length !== LINK_ENTRY_LENGTH) continue;
      if (wanted === undefined || key === wanted) sum += values[0] ?? 0;
    }
    return sum;
  }

  function linkRate(customer?: string): Bytes {
    const rates = [...peerCopies.values()].map((copy) =>
      peerLinkRate(copy, customer)
    );
    return rates.reduce((sum, rate) => sum + rate, ownLinkRate(customer));
  }

  return new (class extends LoadTracker {
    override recordReport(replica: string, report: LoadReport): void {
      reports.recordPolled(replica, report);
      replicaNames.set(replicaKey(replica), replica);
      reportRelay.enqueue(replica);
    }

    override startDispatch(replica: string, dispatch: Dispatch): void {
      const sent = dispatches.get(replica) ?? new Map<string, TimedDispatch>();
      dispatches.set(replica, sent);
      sent.set(dispatch.id, { ...dispatch, at: clock.monotonic() });
      // An equal count can stand for other, newer dispatches.
      deltaSource.markChanged(replicaKey(replica));
    }

    override endDispatch(replica: string, id: string): void {
      const sent = dispatches.get(replica);
      sent?.delete(id);
      if (sent?.size === 0) dispatches.delete(replica);
    }

    override recordLinkBytes(customer: string, bytes: Bytes): void {
      linkUsage.record(customer, bytes);
    }

    override applyDigest(peer: string, digest: unknown): Result<void, string> {
      return applyPeerDigest(peer, digest);
    }

    override removePeer(peer: string): void {
      peerCopies.delete(peer);
      entriesByKey = undefined;
    }

    override retainReplicas(names: Iterable<string>): void {
      const retained = new Set(names);
      for (const [key, name] of [...replicaNames]) {
        if (!retained.has(name)) replicaNames.delete(key);
      }
      reports.retain(retained);
      reportRelay.retain(retained);
    }

    override composeDigest(limit: Bytes): Digest | undefined {
      return composeDigest(limit);
    }

    override report(replica: string): LoadReport | undefined {
      return reports.find(replica)?.report;
    }

    override estimate(replica: string): LoadEstimate {
      const stored = reports.find(replica);
      const own = ownUnreported(replica);
      const others = peerUnreported(replica);
      const unreported = sumUnreported([own, others]);
      const { running = 0, waiting = 0, queuedTokens = 0 } = stored?.report ??
        {};
      return {
        requests: running + waiting + unreported.count,
        queuedTokens: queuedTokens + unreported.tokens,
        ...{ own, peers: others },
        ...(stored !== undefined && {
          report: stored.report,
          age: clock.monotonic() - stored.createdAt,
        }),
      };
    }

    override linkRate(customer?: string): Bytes {
      return linkRate(customer);
    }

    override linkShare(budgetPerSecond: Bytes, customer?: string): number {
      return linkRate(customer) / budgetPerSecond;
    }
  })();
}

function sumUnreported(parts: readonly UnreportedLoad[]): UnreportedLoad {
  return parts.reduce((sum, part) => ({
    count: sum.count + part.count,
    tokens: sum.tokens + part.tokens,
  }), NO_LOAD);
}

/** Adds the values to those of other names with the same key. */
function addValues(
  current: Map<string, readonly number[]>,
  key: string,
  values: readonly number[],
): void {
  const existing = current.get(key) ?? [];
  current.set(
    key,
    values.map((value, index) => value + (existing[index] ?? 0)),
  );
}
