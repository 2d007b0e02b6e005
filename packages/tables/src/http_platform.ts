/**
 * `Platform` over HTTP. Each way in which an exchange can end maps to one
 * settlement: "not done" only when the request was never written or the
 * platform's status rules out an effect.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type {
  Bytes,
  Milliseconds,
  Settlement,
  Timestamp,
} from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { ZodType } from "zod";
import {
  COMMIT_RESPONSE,
  CONFLICT_RESPONSE,
  LISTED_VM,
  PAGE_RESPONSE,
  ROW_RESPONSE,
  VMS_RESPONSE,
} from "./response_schemas.ts";
import {
  createHttpClient,
  type Exchange,
  type HttpRequest,
} from "./http_client.ts";
import {
  type Commit,
  Platform,
  type Rejection,
  type Row,
  type RowKey,
  type RowPage,
  type RowRange,
  type Transaction,
  type Unavailable,
  type VmList,
} from "./platform.ts";

export interface HttpPlatformOptions {
  /** Base address, such as "http://127.0.0.1:7400". */
  readonly address: string;
  readonly clock?: Clock;
  /** Maximum number of connections; further calls wait within their timeout. */
  readonly connections?: number;
  readonly maxResponseBytes?: Bytes;
  /** Called for each request; returns headers to add to it. */
  readonly createHeaders?: () => Readonly<Record<string, string>>;
}

export abstract class HttpPlatform extends Platform {
  /** Closes all connections; exchanges in progress end as lost. */
  abstract close(): Promise<void>;
}

const DEFAULT_CONNECTIONS = 16;
const DEFAULT_MAX_RESPONSE_BYTES: Bytes = 64 * 1024 * 1024;

// HTTP defines these as refusals before a request is carried out; for 429 and
// 503 the platform itself guarantees it (docs/design.md, section 7.4).
const REJECTION_STATUSES: readonly number[] = [
  400,
  401,
  403,
  404,
  413,
  429,
  503,
];

export function createHttpPlatform(options: HttpPlatformOptions): HttpPlatform {
  const client = createHttpClient({
    origin: new URL(options.address).origin,
    clock: options.clock ?? createSystemClock(),
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    maxResponseBytes: options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
    createHeaders: options.createHeaders ?? (() => ({})),
  });

  async function query<Value>(
    path: string,
    timeout: Milliseconds,
    parse: (exchange: Exchange) => Value | Malformed,
  ): Promise<Result<Value, Unavailable>> {
    const request: HttpRequest = { method: "GET", path };
    const exchange = await client.send(request, timeout);
    if (exchange.kind !== "answered") return unavailable(exchange.reason);
    const value = parse(exchange);
    if (value === MALFORMED) return unavailable(describeExchange(exchange));
    return Ok(value as Value);
  }

  return new (class extends HttpPlatform {
    override async transact(
      transaction: Transaction,
      timeout: Milliseconds,
    ): Promise<Settlement<Commit, Rejection>> {
      const exchange = await client.send({
        method: "POST",
        path: "/tables/transact",
        body: JSON.stringify(transaction),
      }, timeout);
      return settleTransaction(exchange);
    }

    override async putObject(
      { name, content }: { readonly name: string; readonly content: string },
      timeout: Milliseconds,
    ): Promise<Settlement<void>> {
      const exchange = await client.send({
        method: "PUT",
        path: `/objects/${encodeURIComponent(name)}`,
        body: content,
        contentType: "application/octet-stream",
      }, timeout);
      return settlePut(exchange);
    }

    override readRow(
      { table, key }: RowKey,
      timeout: Milliseconds,
    ): Promise<Result<Row | undefined, Unavailable>> {
      const path = `/tables/${encodeURIComponent(table)}/${
        encodeURIComponent(key)
      }`;
      return query<Row | undefined>(path, timeout, (exchange) => {
        if (getStatus(exchange) === 404) return undefined;
        const row = parseResponse(exchange, 200, ROW_RESPONSE);
        return row === MALFORMED ? row : { table, key, ...row };
      });
    }

    override readRows(
      { table, prefix, after, limit }: RowRange,
      timeout: Milliseconds,
    ): Promise<Result<RowPage, Unavailable>> {
      const search = new URLSearchParams({ prefix, limit: String(limit) });
      if (after !== undefined) search.set("after", after);
      const path = `/tables/${encodeURIComponent(table)}?${search}`;
      return query<RowPage>(path, timeout, (exchange) => {
        const page = parseResponse(exchange, 200, PAGE_RESPONSE);
        if (page === MALFORMED) return page;
        return { ...page, rows: page.rows.map((row) => ({ table, ...row })) };
      });
    }

    override readObject(
      name: string,
      timeout: Milliseconds,
    ): Promise<Result<string | undefined, Unavailable>> {
      const path = `/objects/${encodeURIComponent(name)}`;
      return query<string | undefined>(path, timeout, (exchange) => {
        if (getStatus(exchange) === 404) return undefined;
        if (exchange.kind !== "answered") return MALFORMED;
        return exchange.status === 200 ? exchange.body : MALFORMED;
      });
    }

    override readVms(
      timeout: Milliseconds,
    ): Promise<Result<VmList, Unavailable>> {
      return query<VmList>(
        "/vms",
        timeout,
        (exchange) => {
          const parsed = parseResponse(exchange, 200, VMS_RESPONSE);
          return parsed === MALFORMED ? parsed : toVmList(parsed);
        },
      );
    }

    override close(): Promise<void> {
      return client.close();
    }
  })();
}

function settleTransaction(
  exchange: Exchange,
): Settlement<Commit, Rejection> {
  const commit = parseResponse(exchange, 200, COMMIT_RESPONSE);
  if (commit !== MALFORMED) return { kind: "done", value: commit };
  const conflict = parseResponse(exchange, 409, CONFLICT_RESPONSE);
  if (conflict !== MALFORMED) {
    const rows = conflict.conflicts.map(({ value, ...check }) =>
      check.version === 0 ? check : { ...check, value: value ?? null }
    );
    return { kind: "not done", reason: { kind: "conflict", rows } };
  }
  if (!isNotExecuted(exchange)) {
    return { kind: "unknown", reason: describeExchange(exchange) };
  }
  const reason = describeExchange(exchange);
  return { kind: "not done", reason: { kind: "refused", reason } };
}

function settlePut(exchange: Exchange): Settlement<void> {
  const status = getStatus(exchange);
  if (status === 200 || status === 201) {
    return { kind: "done", value: undefined };
  }
  const reason = describeExchange(exchange);
  if (status === 409 || isNotExecuted(exchange)) {
    return { kind: "not done", reason };
  }
  return { kind: "unknown", reason };
}

function isNotExecuted(exchange: Exchange): boolean {
  if (exchange.kind === "not sent") return true;
  return REJECTION_STATUSES.includes(getStatus(exchange) ?? 0);
}

const MALFORMED = Symbol("malformed response");
type Malformed = typeof MALFORMED;

function parseResponse<Value>(
  exchange: Exchange,
  status: number,
  schema: ZodType<Value>,
): Value | Malformed {
  if (exchange.kind !== "answered") return MALFORMED;
  if (exchange.status !== status) return MALFORMED;
  try {
    const parsed = schema.safeParse(JSON.parse(exchange.body));
    return parsed.success ? parsed.data : MALFORMED;
  } catch {
    return MALFORMED;
  }
}

function toVmList(
  { at, vms }: { readonly at: Timestamp; readonly vms: readonly unknown[] },
): VmList {
  const valid = vms.flatMap((vm) => LISTED_VM.safeParse(vm).data ?? []);
  return { at, vms: valid, malformed: vms.length - valid.length };
}

function getStatus(exchange: Exchange): number | undefined {
  return exchange.kind === "answered" ? exchange.status : undefined;
}

function describeExchange(exchange: Exchange): string {
  if (exchange.kind !== "answered") return exchange.reason;
  return `status ${exchange.status}: ${exchange.body.slice(0, 200)}`;
}

function unavailable(reason: string): Err<Unavailable> {
  return Err({ kind: "unavailable", reason });
}
