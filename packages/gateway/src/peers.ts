/**
 * Communication between daemons: load digests in small datagrams, and the
 * newest rows of a followed table for a peer that cannot read the store.
 *
 * The platform's network restricts the internal ports to its own machines, and
 * datagrams are accepted only from the addresses of listed peers.
 */
import type { Clock } from "@peridotvalve/clock";
import type { LoadDigest, LoadView } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Transport } from "@peridotvalve/membership";
import type { FeedRow } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { createServer, type Server } from "node:http";
import { Pool } from "undici";
import { z } from "zod";
import type { TableFollower } from "./table_follower.ts";

export interface PeerAddress {
  readonly name: string;
  readonly host: string;
  readonly datagrams: string;
  readonly calls: string;
}

export interface PeersOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly name: string;
  readonly transport: Transport;
  readonly load: LoadView;
  /** Followed tables that peers may read from each other, by name. */
  readonly tables: ReadonlyMap<string, TableFollower>;
  readonly peers: () => readonly PeerAddress[];
  /** Ids of the replicas that load weights on this daemon's order. */
  readonly busy: () => readonly string[];
  /** Ids of the replicas that are not responding to this daemon. */
  readonly silent: () => readonly string[];
  /** Called when a peer reports that replicas are not responding to it. */
  readonly onSilent: (replicas: readonly string[]) => void;
  /** Called when a peer reports that replicas are busy loading weights. */
  readonly onBusy: (replicas: readonly string[]) => void;
}

export abstract class Peers {
  /** Serves the rows known to this daemon. */
  abstract readonly server: Server;
  abstract run(signal: AbortSignal): Promise<void>;
  /**
   * Sends the present state to the peers without waiting for the next period.
   */
  abstract announce(): void;
}

const SEND_PERIOD: Milliseconds = 250;

/** Interval at which an unchanged datagram is repeated. */
const MAX_SEND_INTERVAL: Milliseconds = 1_000;

const CALL_TIMEOUT: Milliseconds = 1_000;

/**
 * Minimum interval between requests to peers while a table is still unknown.
 */
const INITIAL_FETCH_PERIOD: Milliseconds = 300;

/** Short field names keep a datagram within one packet. */
const DATAGRAM = z.object({
  n: z.string(),
  v: z.record(z.string(), z.number()),
  b: z.array(z.string()),
  s: z.array(z.string()),
  l: z.record(
    z.string(),
    z.tuple([z.number(), z.number(), z.number(), z.number()]),
  ),
});

const ROWS = z.object({
  version: z.number(),
  rows: z.array(z.object({
    key: z.string(),
    value: z.json().optional(),
    version: z.number(),
  })),
});

export function createPeers(options: PeersOptions): Peers {
  const { clock, logger, name, transport, load, tables } = options;
  const fetching = new Set<string>();
  let lastSent = "";
  let lastSentAt: Milliseconds = -Infinity;

  const server = createServer((request, response) => {
    const table = (request.url ?? "/").slice(1);
    const follower = tables.get(table);
    if (follower === undefined) {
      response.writeHead(404).end();
      return;
    }
    const body = { version: follower.version(), rows: follower.rows() };
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  });

  function send(): void {
    const versions = Object.fromEntries(
      [...tables].map(([table, follower]) => [
        table,
        follower.contentVersion(),
      ]),
    );
    const digest = load.digest();
    const busy = options.busy();
    const text = JSON.stringify({
      n: name,
      v: versions,
      b: busy,
      s: options.silent(),
      l: digest,
    });
    const now = clock.monotonic();
    if (text === lastSent && now - lastSentAt < MAX_SEND_INTERVAL) return;
    lastSent = text;
    lastSentAt = now;
    const bytes = Buffer.from(text);
    for (const peer of options.peers()) {
      if (peer.name !== name) transport.send(peer.datagrams, bytes);
    }
  }

  async function receive(signal: AbortSignal): Promise<void> {
    for await (const { from, bytes } of transport.receive(signal)) {
      const host = from.slice(0, from.lastIndexOf(":"));
      const peer = options.peers().find((known) => known.host === host);
      if (peer === undefined || peer.name === name) continue;
      const parsed = readDatagram(bytes);
      if (parsed === undefined) {
        logger.log("datagram_rejected", { reason: "malformed", from });
        continue;
      }
      if (parsed.b.length > 0) options.onBusy(parsed.b);
      if (parsed.s.length > 0) options.onSilent(parsed.s);
      load.applyDigest(peer.name, parsed.l as LoadDigest);
      for (const [table, version] of Object.entries(parsed.v)) {
        fetchIfNewer(peer, table, version);
      }
    }
  }

  function fetchIfNewer(
    peer: PeerAddress,
    table: string,
    version: number,
  ): void {
    const follower = tables.get(table);
    if (follower === undefined || !follower.isStale()) return;
    if (version > follower.contentVersion()) fetchRows(peer, table, follower);
  }

  async function fetchRows(
    peer: PeerAddress,
    table: string,
    follower: TableFollower,
  ): Promise<void> {
    if (fetching.has(table)) return;
    fetching.add(table);
    try {
      const read = await callPeer(peer.calls, table);
      if (typeof read === "string") {
        logger.log("peer_unreachable", { peer: peer.name, reason: read });
        return;
      }
      const rows = read.rows as readonly FeedRow[];
      if (follower.adoptNewer(rows, read.version)) {
        const { version } = read;
        logger.log("peer_rows_taken", { peer: peer.name, table, version });
      }
    } finally {
      fetching.delete(table);
    }
  }

  /** Fetches tables of which nothing is known yet from peers, in turn. */
  async function fetchInitialRows(signal: AbortSignal): Promise<void> {
    for (let round = 0; !signal.aborted; round += 1) {
      const unknown = [...tables].filter(([, follower]) =>
        follower.version() === 0
      );
      if (unknown.length === 0) return;
      await clock.sleep(INITIAL_FETCH_PERIOD * (1 + Math.random()), signal);
      const others = options.peers().filter((peer) => peer.name !== name);
      const peer = others[round % Math.max(1, others.length)];
      if (peer === undefined) continue;
      for (const [table, follower] of unknown) {
        if (follower.version() === 0) await fetchRows(peer, table, follower);
      }
    }
  }

  return new (class extends Peers {
    override readonly server = server;

    override async run(signal: AbortSignal): Promise<void> {
      const tasks = [receive(signal), fetchInitialRows(signal)];
      while (!signal.aborted) {
        send();
        await clock.sleep(SEND_PERIOD, signal);
      }
      await Promise.all(tasks);
    }

    override announce(): void {
      send();
    }
  })();
}

function readDatagram(bytes: Uint8Array) {
  try {
    return DATAGRAM.safeParse(JSON.parse(Buffer.from(bytes).toString())).data;
  } catch {
    // The caller logs the datagram as malformed.
    return undefined;
  }
}

/** Returns the peer's rows, or the reason why they could not be read. */
async function callPeer(
  address: string,
  table: string,
): Promise<z.infer<typeof ROWS> | string> {
  const pool = new Pool(`http://${address}`, {
    connections: 1,
    connect: { timeout: CALL_TIMEOUT },
  });
  try {
    const { statusCode, body } = await pool.request({
      method: "GET",
      path: `/${table}`,
      signal: AbortSignal.timeout(CALL_TIMEOUT),
    });
    const read = ROWS.safeParse(await body.json());
    if (statusCode !== 200) return `status ${statusCode}`;
    return read.success ? read.data : "peer sent malformed rows";
  } catch (error) {
    return String(error);
  } finally {
    pool.destroy().catch(() => {});
  }
}
