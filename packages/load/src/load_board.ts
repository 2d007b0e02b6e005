/**
 * The present load of each replica, estimated from its newest report and from
 * the dispatches that the report cannot show yet.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, LoadReport, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Dispatch,
  LoadBoard,
  type LoadEstimate,
  type Unseen,
} from "./board.ts";
import {
  type Copied,
  createDeltaCopy,
  createDeltaSource,
  type Delta,
  type DeltaCopy,
} from "./delta_table.ts";
import { createLinkUse } from "./link_use.ts";
import { createReportRelay } from "./report_relay.ts";
import { createReports } from "./reports.ts";
import { linkKey, replicaKey, unpackEntries, type Values } from "./packed.ts";
import { type Digest, digestSchema, fromLong, fromShort } from "./wire.ts";

interface Sent extends Dispatch {
  readonly at: Milliseconds;
}

const NONE: Unseen = { count: 0, tokens: 0 };

/** Entries of the link have one number, those of replicas two. */
const LINK_VALUES = 1;

/**
 * Share of the digest's room for load reports in every second digest; the
 * others may be full of them, because a report in the long form can need more.
 */
const REPORT_SHARE = 0.5;

export function createLoadBoard(clock: Clock): LoadBoard {
  const reports = createReports(clock);
  const relay = createReportRelay(clock, reports.find);
  const source = createDeltaSource(clock);
  const link = createLinkUse(clock);
  const dispatches = new Map<string, Map<string, Sent>>();
  const peers = new Map<string, DeltaCopy>();
  /** Names of the replicas whose report is held, by key. */
  const replicas = new Map<string, string>();
  let digests = 0;
  /** Undefined when a peer's copy has changed since it was made. */
  let copies: ReadonlyMap<string, readonly Copied[]> | undefined;

  function madeOf(replica: string): Milliseconds {
    return reports.find(replica)?.made ?? -Infinity;
  }

  function ownUnseen(replica: string): Unseen {
    const made = madeOf(replica);
    const sent = [...dispatches.get(replica)?.values() ?? []];
    return sumUnseen(
      sent.filter((dispatch) => dispatch.at > made)
        .map(({ tokens }) => ({ count: 1, tokens })),
    );
  }

  function peersUnseen(replica: string): Unseen {
    const made = madeOf(replica);
    let total = NONE;
    for (const { at, values } of indexCopies().get(replicaKey(replica)) ?? []) {
      if (at <= made) continue;
      const [count = 0, tokens = 0] = values;
      total = {
        count: total.count + count,
        tokens: total.tokens + tokens,
      };
    }
    return total;
  }

  /**
   * What the peers say, by key. A list of candidates asks for each replica, and
   * most peers have said nothing of most replicas.
   */
  function indexCopies(): ReadonlyMap<string, readonly Copied[]> {
    if (copies !== undefined) return copies;
    const index = new Map<string, Copied[]>();
    for (const copy of peers.values()) {
      for (const [key, copied] of copy.entries()) {
        const known = index.get(key);
        if (known === undefined) index.set(key, [copied]);
        else known.push(copied);
      }
    }
    copies = index;
    return index;
  }

  /** Brings the table for the digest up to date. */
  function refreshSource(): void {
    const current = new Map<string, readonly number[]>();
    for (const replica of dispatches.keys()) {
      const { count, tokens } = ownUnseen(replica);
      if (count > 0) add(current, replicaKey(replica), [count, tokens]);
    }
    for (const [customer, rate] of link.rates()) {
      add(current, linkKey(customer), [rate]);
    }
    for (const key of [...source.entries().keys()]) {
      if (!current.has(key)) source.remove(key);
    }
    for (const [key, values] of current) source.set(key, values);
  }

  function composeDigest(limit: Bytes): Digest | undefined {
    refreshSource();
    digests += 1;
    const share = digests % 2 === 0 ? REPORT_SHARE : 1;
    const passed = relay.compose(limit * share);
    const hasPassed = Object.keys(passed).length > 0;
    const used = hasPassed ? JSON.stringify(passed).length : 0;
    const delta = source.compose(limit - used);
    if (!hasPassed && delta === undefined) return undefined;
    return { ...delta as Digest, ...passed };
  }

  function takeLong(passed: NonNullable<Digest["r"]>): void {
    for (const [replica, wire] of Object.entries(passed)) {
      const { report, age } = fromLong(wire, clock.now());
      reports.takePassed(replica, report, age);
      replicas.set(replicaKey(replica), replica);
    }
  }

  function takeShort(passed: ReadonlyMap<string, Values | undefined>): void {
    for (const [key, values = []] of passed) {
      const replica = replicas.get(key);
      const held = replica && reports.find(replica);
      if (!replica || !held) continue;
      const received = fromShort(values, held.report, clock.now());
      if (received === undefined) continue;
      reports.takePassed(replica, received.report, received.age);
    }
  }

  function takeDigest(peer: string, digest: unknown): Result<void, string> {
    const parsed = digestSchema.safeParse(digest);
    if (!parsed.success) return Err(parsed.error.message);
    const short = unpackEntries(parsed.data.p ?? "");
    if (short.isErr()) return short;
    const copy = peers.get(peer) ?? createDeltaCopy(clock);
    peers.set(peer, copy);
    const applied = copy.apply(parsed.data as Delta);
    copies = undefined;
    if (applied.isErr()) return applied;
    takeLong(parsed.data.r ?? {});
    takeShort(short.value);
    return Ok(undefined);
  }

  function ownLinkRate(customer?: string): Bytes {
    const rates = link.rates();
    if (customer !== undefined) return rates.get(customer) ?? 0;
    return [...rates.values()].reduce((sum, rate) => sum + rate, 0);
  }

  function peerLinkRate(copy: DeltaCopy, customer?: string): Bytes {
    const wanted = customer === undefined ? undefined : linkKey(customer);
    let sum = 0;
    for (const [key, { values }] of copy.entries()) {
      if (values.length !== LINK_VALUES) continue;
      if (wanted === undefined || key === wanted) sum += values[0] ?? 0;
    }
    return sum;
  }

  function linkRate(customer?: string): Bytes {
    const rates = [...peers.values()].map((copy) =>
      peerLinkRate(copy, customer)
    );
    return rates.reduce((sum, rate) => sum + rate, ownLinkRate(customer));
  }

  return new (class extends LoadBoard {
    override takeReport(replica: string, report: LoadReport): void {
      reports.takePolled(replica, report);
      replicas.set(replicaKey(replica), replica);
      relay.offer(replica);
    }

    override startDispatch(replica: string, dispatch: Dispatch): void {
      const sent = dispatches.get(replica) ?? new Map<string, Sent>();
      dispatches.set(replica, sent);
      sent.set(dispatch.id, { ...dispatch, at: clock.monotonic() });
      // An equal count can be of other dispatches, which are newer.
      source.touch(replicaKey(replica));
    }

    override endDispatch(replica: string, id: string): void {
      const sent = dispatches.get(replica);
      sent?.delete(id);
      if (sent?.size === 0) dispatches.delete(replica);
    }

    override recordLinkBytes(customer: string, bytes: Bytes): void {
      link.record(customer, bytes);
    }

    override takeDigest(peer: string, digest: unknown): Result<void, string> {
      return takeDigest(peer, digest);
    }

    override dropPeer(peer: string): void {
      peers.delete(peer);
      copies = undefined;
    }

    override retainReplicas(names: Iterable<string>): void {
      const retained = new Set(names);
      for (const [key, name] of [...replicas]) {
        if (!retained.has(name)) replicas.delete(key);
      }
      reports.retain(retained);
      relay.retain(retained);
    }

    override composeDigest(limit: Bytes): Digest | undefined {
      return composeDigest(limit);
    }

    override report(replica: string): LoadReport | undefined {
      return reports.find(replica)?.report;
    }

    override estimate(replica: string): LoadEstimate {
      const held = reports.find(replica);
      const own = ownUnseen(replica);
      const others = peersUnseen(replica);
      const unseen = sumUnseen([own, others]);
      const { running = 0, waiting = 0, queuedTokens = 0 } = held?.report ?? {};
      return {
        requests: running + waiting + unseen.count,
        queuedTokens: queuedTokens + unseen.tokens,
        ...{ own, peers: others },
        ...(held !== undefined && {
          report: held.report,
          age: clock.monotonic() - held.made,
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

function sumUnseen(parts: readonly Unseen[]): Unseen {
  return parts.reduce((sum, part) => ({
    count: sum.count + part.count,
    tokens: sum.tokens + part.tokens,
  }), NONE);
}

/** Two names with the same key add up. */
function add(
  current: Map<string, readonly number[]>,
  key: string,
  values: readonly number[],
): void {
  const held = current.get(key) ?? [];
  current.set(key, values.map((value, index) => value + (held[index] ?? 0)));
}
