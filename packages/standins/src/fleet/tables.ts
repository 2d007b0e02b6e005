/**
 * Stand-in for the table service of the users' platform: rows whose versions
 * come from one counter, conditional transactions, and feeds by long polling.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

export interface TableFaults {
  /** Responds to every call with 503. */
  readonly outage: boolean;
  /** Accepts calls, but never responds. */
  readonly silent: boolean;
  /** Applies transactions, but closes the connection without a response. */
  readonly loseAnswers: boolean;
}

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly tombstone?: true;
}

interface Transaction {
  readonly expected_rev?: readonly (Omit<StoredRow, "value">)[];
  readonly writes?: readonly Omit<StoredRow, "ver">[];
  readonly remove?: readonly Omit<StoredRow, "ver" | "value">[];
}

export interface TablesCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

export interface TablesStandin {
  /** Host and port. */
  readonly address: string;
  /** Writes a row without checks, as the operator or a replica does. */
  put(table: string, key: string, value: unknown): void;
  /** Writes a row whose value is any text, as a faulty writer does. */
  putText(table: string, key: string, text: string): void;
  remove(table: string, key: string): void;
  read(table: string, key: string): unknown;
  setFaults(faults: Partial<TableFaults>): void;
  /** Discards the change history; feeds that start before it get 410 (gone). */
  compact(): void;
  /** Copies all rows with the version of the newest one. */
  copy(): TablesCopy;
  /**
   * Returns to a copy: later rows are gone, their versions are given out again,
   * feeds that start behind the copy get 410, and the era rises by one.
   */
  restore(copy: TablesCopy): void;
  /** Number of calls that were received. */
  calls(): number;
  close(): Promise<void>;
}

/** Starts the stand-in on a free loopback port. */
export async function startTablesStandin(): Promise<TablesStandin> {
  const rows = new Map<string, StoredRow>();
  let version = 0;
  let era = 1;
  let calls = 0;
  let oldestVersion = 0;
  let faults: TableFaults = {
    outage: false,
    silent: false,
    loseAnswers: false,
  };
  const pendingFeeds = new Set<() => void>();

  const rowIdOf = (table: string, key: string) => `${table}\n${key}`;

  function setRow(table: string, key: string, value: string | undefined): void {
    const row = { table, part: "", key, ver: version };
    rows.set(
      rowIdOf(table, key),
      value === undefined
        ? { ...row, tombstone: true as const }
        : { ...row, value },
    );
  }

  function putText(table: string, key: string, text: string): void {
    version += 1;
    setRow(table, key, Buffer.from(text).toString("base64"));
    notifyFeeds();
  }

  function notifyFeeds(): void {
    for (const respondIfChanged of [...pendingFeeds]) respondIfChanged();
  }

  function transact(
    { expected_rev = [], writes = [], remove = [] }: Transaction,
  ) {
    const checksHold = expected_rev.every(({ table, key, ver }) => {
      const row = rows.get(rowIdOf(table, key));
      return (row?.tombstone === true ? 0 : row?.ver ?? 0) === ver;
    });
    if (!checksHold) return false;
    version += 1;
    for (const { table, key, value } of writes) setRow(table, key, value);
    for (const { table, key } of remove) setRow(table, key, undefined);
    notifyFeeds();
    return true;
  }

  function sendJson(
    response: ServerResponse,
    status: number,
    body: Record<string, unknown> = {},
  ): void {
    response.writeHead(status, {
      "content-type": "application/json",
      "Store-Era": String(era),
    });
    response.end(JSON.stringify({ ...body, ver: version, now_ms: 0 }));
  }

  function changesAfter(table: string, after: number): readonly StoredRow[] {
    return [...rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((left, right) => left.ver - right.ver);
  }

  function serveFeed(
    parameters: URLSearchParams,
    response: ServerResponse,
  ): void {
    const table = parameters.get("table") ?? "";
    const after = Number(parameters.get("after"));
    const isKnown = after >= oldestVersion && after <= version;
    if (!isKnown) return sendJson(response, 410);
    const respond = () => {
      clearTimeout(timer);
      pendingFeeds.delete(respondIfChanged);
      sendJson(response, 200, { rows: changesAfter(table, after) });
    };
    const respondIfChanged = () => {
      if (changesAfter(table, after).length > 0) respond();
    };
    const timer = setTimeout(respond, Number(parameters.get("wait_ms") ?? 0));
    pendingFeeds.add(respondIfChanged);
    respondIfChanged();
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    calls += 1;
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk as Uint8Array);
    if (faults.silent) return;
    if (faults.outage) return sendJson(response, 503);
    const url = new URL(request.url ?? "/", "http://tables");
    if (url.pathname === "/peridotvalve/rows-tx") {
      const body = JSON.parse(Buffer.concat(chunks).toString());
      const isCommitted = transact(body);
      if (faults.loseAnswers) request.socket.destroy();
      else sendJson(response, isCommitted ? 200 : 412, { rows: [] });
    } else if (url.pathname === "/peridotvalve/rows-get") {
      const table = url.searchParams.get("table") ?? "";
      const from = url.searchParams.get("from") ?? "";
      const to = url.searchParams.get("to");
      const found = [...rows.values()]
        .filter((row) => row.table === table && row.tombstone !== true)
        .filter(({ key }) => key >= from && (to === null || key < to))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      sendJson(response, 200, { rows: found, more_pages: false });
    } else if (url.pathname === "/peridotvalve/rows-feed") {
      serveFeed(url.searchParams, response);
    } else sendJson(response, 404);
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    put(table, key, value) {
      putText(table, key, JSON.stringify(value));
    },
    putText,
    remove(table, key) {
      version += 1;
      setRow(table, key, undefined);
      notifyFeeds();
    },
    read(table, key) {
      const value = rows.get(rowIdOf(table, key))?.value;
      if (value === undefined) return undefined;
      return JSON.parse(Buffer.from(value, "base64").toString());
    },
    setFaults(change) {
      faults = { ...faults, ...change };
    },
    compact() {
      oldestVersion = version;
      for (const [id, row] of rows) if (row.tombstone) rows.delete(id);
    },
    copy: () => ({ rows: new Map(rows), version }),
    restore(copy) {
      rows.clear();
      for (const [id, row] of copy.rows) rows.set(id, row);
      version = copy.version;
      era += 1;
      server.closeAllConnections();
      pendingFeeds.clear();
    },
    calls: () => calls,
    async close() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
