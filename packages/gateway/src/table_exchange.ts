/**
 * The exchange of followed tables between neighbors. Heartbeats name the version
 * of each table, and rows are fetched from a neighbor that knows newer ones.
 *
 * A store that has returned from a copy lacks rows that the daemons keep. Their
 * versions belong to an earlier era, so no comparison of versions shows that a
 * daemon which reads the copy lacks them. Heartbeats therefore also name a
 * fingerprint of the kept rows, and whoever keeps others fetches them, even a
 * daemon whose own reads succeed.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { PeerClient } from "./peer_calls.ts";
import type { TableNews } from "./peer_digest.ts";
import type { Registration } from "./registration.ts";
import type { TableFollower } from "./table_follower.ts";

export interface TableExchangeOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly name: string;
  readonly calls: PeerClient;
  readonly registration: Registration;
  readonly tables: ReadonlyMap<string, TableFollower>;
}

export interface TableExchange {
  /** What this daemon knows of the tables, for its neighbors. */
  listNews(): readonly TableNews[];
  /** Takes what a neighbor knows of a table. */
  applyNews(peer: string, news: TableNews): void;
  /** Fetches tables of which nothing is known yet from peers, in turn. */
  fetchInitialRows(signal: AbortSignal): Promise<void>;
}

/** Minimum interval between calls while a table is still unknown. */
const INITIAL_FETCH_PERIOD: Milliseconds = 300;

/** Minimum interval between calls for the kept rows of one table. */
const KEPT_FETCH_PERIOD: Milliseconds = 500;

export function createTableExchange(
  { clock, logger, name, calls, registration, tables }: TableExchangeOptions,
): TableExchange {
  const fetching = new Set<string>();
  const keptFetches = new Map<string, Milliseconds>();
  /** Fingerprints of kept rows that were taken, by table and peer. */
  const takenKept = new Map<string, Map<string, string>>();

  /** Counts the read of a peer, whose rows must be known here. */
  function recordPeerRead(
    follower: TableFollower,
    news: Pick<TableNews, "age">,
    elapsed: Milliseconds = 0,
  ): void {
    if (news.age !== undefined) follower.recordPeerRead(news.age + elapsed);
  }

  async function fetchRows(
    peer: string,
    follower: TableFollower,
    news: Pick<TableNews, "table" | "age">,
  ): Promise<void> {
    const { table } = news;
    const address = registration.find(peer)?.calls;
    if (address === undefined || fetching.has(table)) return;
    fetching.add(table);
    const start = clock.monotonic();
    const position = {
      content: follower.contentVersion(),
      version: follower.version(),
    };
    const read = await calls.readRows(address, { table, position });
    fetching.delete(table);
    if (read.isErr()) {
      logger.log("peer_unreachable", { peer, reason: read.error });
      follower.requestRead();
    } else if (follower.adopt(read.value)) {
      const { version } = read.value;
      const elapsed = clock.monotonic() - start;
      recordPeerRead(follower, news, elapsed);
      logger.log("peer_rows_taken", { peer, table, version });
    }
  }

  function takenFrom(table: string): Map<string, string> {
    const taken = takenKept.get(table) ?? new Map<string, string>();
    takenKept.set(table, taken);
    return taken;
  }

  /** True when a neighbor may keep rows that this daemon lacks. */
  function lacksKept(
    peer: string,
    follower: TableFollower,
    { table, kept }: Pick<TableNews, "table" | "kept">,
  ): boolean {
    if (kept === undefined || follower.version() === 0) return false;
    if (kept === follower.keptFingerprint()) return false;
    if (takenFrom(table).get(peer) === kept) return false;
    const last = keptFetches.get(table) ?? -Infinity;
    return clock.monotonic() - last >= KEPT_FETCH_PERIOD;
  }

  async function fetchKept(
    peer: string,
    follower: TableFollower,
    { table, kept = "" }: Pick<TableNews, "table" | "kept">,
  ): Promise<void> {
    const address = registration.find(peer)?.calls;
    if (address === undefined) return;
    keptFetches.set(table, clock.monotonic());
    const position = { content: 0, version: follower.version() };
    const read = await calls.readRows(address, { table, position });
    if (read.isErr()) {
      logger.log("peer_unreachable", { peer, reason: read.error });
      return;
    }
    const { hasChanged, isComplete } = follower.adoptKept(read.value);
    if (isComplete) takenFrom(table).set(peer, kept);
    if (!hasChanged) return;
    const { version } = read.value;
    logger.log("peer_rows_taken", { peer, table, version });
  }

  return {
    listNews() {
      const now = clock.monotonic();
      return [...tables].map(([table, follower]) => {
        const kept = follower.keptFingerprint();
        return {
          table,
          contentVersion: follower.contentVersion(),
          ...(follower.isReading() && follower.lastOwnRead() > -Infinity
            ? { age: now - follower.lastOwnRead() }
            : {}),
          ...(kept !== undefined && { kept }),
        };
      });
    },
    applyNews(peer, news) {
      const follower = tables.get(news.table);
      if (follower === undefined) return;
      if (news.contentVersion <= follower.contentVersion()) {
        recordPeerRead(follower, news);
      } else if (follower.needsPeers()) void fetchRows(peer, follower, news);
      if (lacksKept(peer, follower, news)) {
        void fetchKept(peer, follower, news);
      }
    },
    async fetchInitialRows(signal) {
      for (let round = 0; !signal.aborted; round += 1) {
        const unknown = [...tables].filter(([, follower]) =>
          follower.version() === 0
        );
        if (unknown.length === 0) return;
        await clock.sleep(INITIAL_FETCH_PERIOD * (1 + Math.random()), signal);
        const others = registration.peers().filter((peer) =>
          peer.name !== name
        );
        const peer = others[round % Math.max(1, others.length)];
        if (peer === undefined) continue;
        for (const [table, follower] of unknown) {
          if (follower.version() !== 0) continue;
          await fetchRows(peer.name, follower, { table });
        }
      }
    },
  };
}
