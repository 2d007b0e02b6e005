/**
 * The platform over HTTP. Every end of an exchange maps to one settlement: an
 * effect is excluded only when the request was never written or the platform
 * said so.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds, Settlement } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { ZodType } from "zod";
import {
  COMMIT_ANSWER,
  CONFLICT_ANSWER,
  PAGE_ANSWER,
  ROW_ANSWER,
  VMS_ANSWER,
} from "./answers.ts";
import {
  createExchanger,
  type Exchange,
  type HttpRequest,
} from "./exchange.ts";
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
  /** Connections open at once; calls beyond wait within their timeout. */
  readonly connections?: number;
  readonly maxAnswerBytes?: Bytes;
  /** Headers of every request, made anew for each. */
  readonly createHeaders?: () => Readonly<Record<string, string>>;
}

export abstract class HttpPlatform extends Platform {
  /** Ends all connections; calls in progress settle as lost. */
  abstract close(): Promise<void>;
}

const DEFAULT_CONNECTIONS = 16;
const DEFAULT_MAX_ANSWER_BYTES: Bytes = 64 * 1024 * 1024;

// By HTTP's definition these refuse a request before it is carried out; 429
// and 503 are the platform's own promise (docs/design.md, section 7.4).
const REFUSING_STATUSES: readonly number[] = [
  400,
  401,
  403,
  404,
  413,
  429,
  503,
];

export function createHttpPlatform(options: HttpPlatformOptions): HttpPlatform {
  const exchanger = createExchanger({
    origin: new URL(options.address).origin,
    clock: options.clock ?? createSystemClock(),
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    maxAnswerBytes: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
    createHeaders: options.createHeaders ?? (() => ({})),
  });

  async function query<Value>(
    path: string,
    timeout: Milliseconds,
    parse: (exchange: Exchange) => Value | Malformed,
  ): Promise<Result<Value, Unavailable>> {
    const request: HttpRequest = { method: "GET", path };
    const exchange = await exchanger.exchange(request, timeout);
    if (exchange.kind !== "answered") return unavailable(exchange.reason);
    const value = parse(exchange);
    if (value === MALFORMED) return unavailable(describe(exchange));
    return Ok(value as Value);
  }

  return new (class extends HttpPlatform {
    override async transact(
      transaction: Transaction,
      timeout: Milliseconds,
    ): Promise<Settlement<Commit, Rejection>> {
      const exchange = await exchanger.exchange({
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
      const exchange = await exchanger.exchange({
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
        if (statusOf(exchange) === 404) return undefined;
        const row = parseAnswer(exchange, 200, ROW_ANSWER);
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
        const page = parseAnswer(exchange, 200, PAGE_ANSWER);
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
        if (statusOf(exchange) === 404) return undefined;
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
        (exchange) => parseAnswer(exchange, 200, VMS_ANSWER),
      );
    }

    override close(): Promise<void> {
      return exchanger.close();
    }
  })();
}

function settleTransaction(exchange: Exchange): Settlement<Commit, Rejection> {
  const commit = parseAnswer(exchange, 200, COMMIT_ANSWER);
  if (commit !== MALFORMED) return { kind: "done", value: commit };
  const answer = parseAnswer(exchange, 409, CONFLICT_ANSWER);
  if (answer !== MALFORMED) {
    const rows = answer.conflicts.map(({ value, ...check }) =>
      check.version === 0 ? check : { ...check, value: value ?? null }
    );
    return { kind: "not done", reason: { kind: "conflict", rows } };
  }
  if (!excludesEffect(exchange)) {
    return { kind: "unknown", reason: describe(exchange) };
  }
  const reason = describe(exchange);
  return { kind: "not done", reason: { kind: "refused", reason } };
}

function settlePut(exchange: Exchange): Settlement<void> {
  const status = statusOf(exchange);
  if (status === 200 || status === 201) {
    return { kind: "done", value: undefined };
  }
  const reason = describe(exchange);
  if (status === 409 || excludesEffect(exchange)) {
    return { kind: "not done", reason };
  }
  return { kind: "unknown", reason };
}

function excludesEffect(exchange: Exchange): boolean {
  if (exchange.kind === "not sent") return true;
  return REFUSING_STATUSES.includes(statusOf(exchange) ?? 0);
}

const MALFORMED = Symbol("malformed answer");
type Malformed = typeof MALFORMED;

function parseAnswer<Value>(
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

function statusOf(exchange: Exchange): number | undefined {
  return exchange.kind === "answered" ? exchange.status : undefined;
}

function describe(exchange: Exchange): string {
  if (exchange.kind !== "answered") return exchange.reason;
  return `status ${exchange.status}: ${exchange.body.slice(0, 200)}`;
}

function unavailable(reason: string): Err<Unavailable> {
  return Err({ kind: "unavailable", reason });
}
