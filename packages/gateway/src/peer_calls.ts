/**
 * Calls between daemons for what does not fit a datagram: the rows of a followed
 * table, and the contents of a store of cached parts.
 */
import type { JournalDump } from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";
import { createServer, type Server } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent } from "undici";
import { z } from "zod";
import type { TableUpdate } from "./followed_rows.ts";
import type { TableFollower } from "./table_follower.ts";

const CALL_TIMEOUT: Milliseconds = 1_000;

/** Connections to peers are kept for the next change of a table. */
const IDLE_TIMEOUT: Milliseconds = 10_000;

const ROWS_PATH = "/rows/";
const STORES_PATH = "/stores/";

const UPDATE = z.object({
  version: z.number(),
  isWhole: z.boolean(),
  rows: z.array(z.object({
    key: z.string(),
    value: z.json().optional(),
    version: z.number(),
  })),
  removed: z.array(z.tuple([z.string(), z.number()])),
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

export interface PeerServerOptions {
  /** Followed tables that peers may read, by name. */
  readonly tables: ReadonlyMap<string, TableFollower>;
  readonly dumpStore: (store: string) => JournalDump | undefined;
}

export function createPeerServer(
  { tables, dumpStore }: PeerServerOptions,
): Server {
  function find(url: URL): unknown {
    const path = decodeURIComponent(url.pathname);
    if (path.startsWith(STORES_PATH)) {
      return dumpStore(path.slice(STORES_PATH.length));
    }
    if (!path.startsWith(ROWS_PATH)) return undefined;
    const after = Number(url.searchParams.get("after") ?? 0);
    return tables.get(path.slice(ROWS_PATH.length))?.changesSince(after);
  }

  return createServer({ keepAliveTimeout: 2 * IDLE_TIMEOUT }, (
    request,
    response,
  ) => {
    const body = find(new URL(request.url ?? "/", "http://peer"));
    if (body === undefined) {
      response.writeHead(404).end();
      return;
    }
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  });
}

export interface PeerClient {
  /** Reads the changes of a table after a content version. */
  readRows(
    address: string,
    query: { readonly table: string; readonly after: number },
  ): Promise<Result<TableUpdate, string>>;
  readStore(
    address: string,
    store: string,
  ): Promise<Result<JournalDump, string>>;
  close(): void;
}

export function createPeerClient(): PeerClient {
  let agent = createAgent();

  async function call<Body>(
    address: string,
    path: string,
    schema: z.ZodType<Body>,
  ): Promise<Result<Body, string>> {
    try {
      const { statusCode, body } = await agent.request({
        origin: `http://${address}`,
        method: "GET",
        path,
        signal: AbortSignal.timeout(CALL_TIMEOUT),
      });
      if (statusCode !== 200) {
        await body.dump();
        return Err(`status ${statusCode}`);
      }
      const read = schema.safeParse(await body.json());
      return read.success ? Ok(read.data) : Err("malformed answer");
    } catch (error) {
      // An open connection can be silent for good while new ones work.
      replaceAgent();
      return Err(String(error));
    }
  }

  function replaceAgent(): void {
    const previous = agent;
    agent = createAgent();
    // Rejects only when the agent is already closed.
    previous.close().catch(() => {});
  }

  return {
    async readRows(address, { table, after }) {
      const path = `${ROWS_PATH}${encodeURIComponent(table)}?after=${after}`;
      const read = await call(address, path, UPDATE);
      return read.map((update) => update as TableUpdate);
    },
    readStore(address, store) {
      const path = `${STORES_PATH}${encodeURIComponent(store)}`;
      return call(address, path, DUMP);
    },
    close() {
      agent.destroy().catch(() => {});
    },
  };
}

function createAgent(): Agent {
  return new Agent({
    connections: 1,
    connect: { timeout: CALL_TIMEOUT },
    keepAliveTimeout: IDLE_TIMEOUT,
  });
}
