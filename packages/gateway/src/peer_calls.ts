/**
 * Calls between daemons for what does not fit a datagram: the rows of a followed
 * table, the contents of a store of cached parts, and records of streams.
 */
import type { Clock } from "@peridotvalve/clock";
import type { ByteBudget } from "@peridotvalve/connections";
import type { JournalDump } from "@peridotvalve/dispatch";
import {
  createHttpClient,
  type HttpClient,
  MAX_ERA,
  parseJson,
  toVersion,
} from "@peridotvalve/tables";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Err, Ok, Result } from "ts-results-es";
import { z } from "zod";
import { HEAD_CHECK_PERIOD, type Intake } from "./intake.ts";
import { closeUnread, trackRequests } from "./side_servers.ts";
import type { TablePosition, TableUpdate } from "./followed_rows.ts";
import type { OriginRecord } from "./stream_records.ts";
import type { TableFollower } from "./table_follower.ts";

const CALL_TIMEOUT: Milliseconds = 1_000;

/** Longer than the clients keep an idle connection. */
const IDLE_TIMEOUT: Milliseconds = 10_000;

/** One that hangs must not block the calls behind it. */
const MAX_CONNECTIONS = 2;

const MAX_RESPONSE_BYTES: Bytes = 8 * 1_024 * 1_024;

const MAX_REQUEST_BYTES: Bytes = 64 * 1_024;

const ROWS_PATH = "/rows/";
const STORES_PATH = "/stores/";
const STREAMS_PATH = "/streams";

/** A larger one would keep the rows of the store out for good. */
const VERSION = z.number().int().nonnegative().max(toVersion(MAX_ERA, 0));

const UPDATE = z.object({
  version: VERSION,
  content: VERSION.optional(),
  isWhole: z.boolean(),
  rows: z.array(z.object({
    key: z.string(),
    value: z.json().optional(),
    version: VERSION,
  })),
  removed: z.array(z.tuple([z.string(), VERSION])),
});

const DUMP = z.object({
  epoch: z.number(),
  next: z.number(),
  parts: z.array(z.object({
    salt: z.string(),
    part: z.string(),
    tokens: z.number(),
  })),
});

const STREAMS = z.array(z.tuple([
  z.string().regex(/^[0-9a-f]{32}$/),
  z.object({ service: z.string().max(200), software: z.string().max(200) }),
])).max(100);

export interface PeerServerOptions {
  /** Followed tables that peers may read, by name. */
  readonly tables: ReadonlyMap<string, TableFollower>;
  readonly dumpStore: (store: string) => JournalDump | undefined;
  /** Takes the records of streams of a peer. */
  readonly collect: (records: readonly OriginRecord[]) => void;
  /** Called when a call cannot be answered; the peer gets 500. */
  readonly onError: (error: unknown) => void;
  readonly intake: Intake;
}

export function createPeerServer(
  { tables, dumpStore, collect, onError, intake }: PeerServerOptions,
): Server {
  function find(url: URL): unknown {
    const path = decodeURIComponent(url.pathname);
    if (path.startsWith(STORES_PATH)) {
      return dumpStore(path.slice(STORES_PATH.length));
    }
    if (!path.startsWith(ROWS_PATH)) return undefined;
    const content = Number(url.searchParams.get("after") ?? 0);
    // Daemons of earlier releases do not name the version that they know.
    const version = Number(url.searchParams.get("known") ?? content);
    return tables.get(path.slice(ROWS_PATH.length))
      ?.changesSince({ content, version });
  }

  async function takeStreams(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const received = await intake.bodies.read(request, MAX_REQUEST_BYTES);
    if (received.kind !== "complete") {
      response.shouldKeepAlive = false;
      response.writeHead(STATUSES[received.kind]).end();
      return;
    }
    const { bytes = "" } = received.body;
    const text = Buffer.from(bytes).toString();
    received.body.release();
    const read = STREAMS.safeParse(parseJson(text));
    if (read.success) collect(read.data);
    response.writeHead(read.success ? 200 : 400).end();
  }

  const server = createServer({
    keepAliveTimeout: IDLE_TIMEOUT,
    connectionsCheckingInterval: HEAD_CHECK_PERIOD,
  }, (request, response) => {
    closeUnread(intake, request, response);
    if (request.method === "POST" && request.url === STREAMS_PATH) {
      takeStreams(request, response).catch(onError);
      return;
    }
    const composed = Result.wrap(() => {
      const body = find(new URL(request.url ?? "/", "http://peer"));
      return body === undefined ? undefined : JSON.stringify(body);
    });
    if (composed.isErr()) {
      onError(composed.error);
      response.writeHead(500).end();
      return;
    }
    if (composed.value === undefined) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/json" });
    response.end(composed.value);
  });
  trackRequests(intake, server, "peers");
  return server;
}

/** Statuses of calls whose body is not complete. */
const STATUSES = {
  "broken off": 400,
  "too long": 413,
  "stalled": 408,
  "no room": 503,
  "too many pieces": 503,
} as const;

export interface PeerClient {
  /** Reads what a daemon at the position lacks of a table. */
  readRows(
    address: string,
    query: { readonly table: string; readonly position: TablePosition },
  ): Promise<Result<TableUpdate, string>>;
  readStore(
    address: string,
    store: string,
  ): Promise<Result<JournalDump, string>>;
  /** Gives records of streams to a collector; returns false on a failure. */
  sendStreams(
    address: string,
    records: readonly OriginRecord[],
  ): Promise<boolean>;
  close(): void;
}

export function createPeerClient(
  clock: Clock,
  memory?: ByteBudget,
): PeerClient {
  const clients = new Map<string, HttpClient>();

  function clientOf(address: string): HttpClient {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = createHttpClient({
      origin: `http://${address}`,
      clock,
      connections: MAX_CONNECTIONS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      ...(memory === undefined ? {} : { memory }),
      createHeaders: () => ({}),
    });
    clients.set(address, client);
    return client;
  }

  async function call<Body>(
    address: string,
    path: string,
    schema: z.ZodType<Body>,
  ): Promise<Result<Body, string>> {
    const request = { method: "GET", path } as const;
    const exchange = await clientOf(address).send(request, CALL_TIMEOUT);
    if (exchange.kind !== "answered") return Err(exchange.reason);
    if (exchange.status !== 200) return Err(`status ${exchange.status}`);
    const read = schema.safeParse(parseJson(exchange.body));
    return read.success ? Ok(read.data) : Err("malformed answer");
  }

  return {
    async readRows(address, { table, position: { content, version } }) {
      const query = `after=${content}&known=${version}`;
      const path = `${ROWS_PATH}${encodeURIComponent(table)}?${query}`;
      const read = await call(address, path, UPDATE);
      return read.map((update) => update as TableUpdate);
    },
    readStore(address, store) {
      const path = `${STORES_PATH}${encodeURIComponent(store)}`;
      return call(address, path, DUMP);
    },
    async sendStreams(address, records) {
      const exchange = await clientOf(address).send({
        ...{ method: "POST", path: STREAMS_PATH },
        body: JSON.stringify(records),
      }, CALL_TIMEOUT);
      return exchange.kind === "answered" && exchange.status === 200;
    },
    close() {
      for (const client of clients.values()) {
        // The process ends; there is nobody left to tell.
        client.close().catch(() => {});
      }
    },
  };
}
