/**
 * The operators' listener: liveness, readiness, metrics, status, events,
 * orders and the configuration.
 */
import { claimKey, parseClaimRow } from "@peridotvalve/claims";
import {
  applyConfiguration,
  readHead,
  readHistory,
  readVersion,
} from "@peridotvalve/configuration";
import type { EventRing } from "@peridotvalve/events";
import type { Json, Platform } from "@peridotvalve/tables";
import { formatProblem, readConfiguration } from "@peridotvalve/settings";
import type { Milliseconds } from "@peridotvalve/types";
import { z } from "zod";
import { readBody } from "../http/body.ts";
import type { Exchange } from "../http/exchange.ts";
import type { Handler } from "../http/gateway.ts";
import { sendFailure, sendJson, sendText } from "../http/respond.ts";
import { hasToken } from "../peers/rpc.ts";
import type { Runtime } from "../runtime.ts";
import type { DaemonStatus } from "../status.ts";
import type { DaemonVersion } from "./daemon_version.ts";

const PLATFORM_TIMEOUT: Milliseconds = 2_000;
const CONFIGURATION_BYTES = 16 * 1024 * 1024;
const BODY_TIMEOUT: Milliseconds = 10_000;
const LONGEST_HISTORY = 1_000;

export interface OperatorParts {
  readonly runtime: Runtime;
  readonly platform: Platform;
  readonly ring: EventRing;
  readonly status: () => DaemonStatus;
  /** Brings the gauges to the present before the metrics are read. */
  readonly refreshGauges: () => void;
  /** Version of every known daemon; undefined where it did not answer. */
  readonly readVersions: () => Promise<readonly DaemonVersion[]>;
}

export function createOperatorHandlers(
  parts: OperatorParts,
): Readonly<Record<string, Handler>> {
  const guarded = (handler: Handler): Handler => (exchange) => {
    if (hasToken(exchange, parts.runtime.settings.operatorToken)) {
      return handler(exchange);
    }
    sendFailure(exchange, {
      code: "invalid_api_key",
      ran: "no",
      message: "the operator token is missing or wrong",
    });
  };
  return {
    "GET /healthz": (exchange) => sendText(exchange, 200, "alive\n"),
    "GET /readyz": (exchange) => answerReady(parts, exchange),
    "GET /metrics": guarded((exchange) => {
      parts.refreshGauges();
      sendText(exchange, 200, parts.runtime.meters.registry.render());
    }),
    "GET /status": guarded((exchange) =>
      sendJson(exchange, 200, parts.status())
    ),
    "GET /events": guarded((exchange) => answerEvents(parts, exchange)),
    "GET /orders": guarded((exchange) => answerOrder(parts, exchange)),
    "GET /configuration": guarded((exchange) =>
      answerConfiguration(parts, exchange)
    ),
    "GET /configuration/history": guarded((exchange) =>
      answerHistory(parts, exchange)
    ),
    "GET /configuration/lag": guarded((exchange) => answerLag(parts, exchange)),
    "POST /configuration": guarded((exchange) => answerApply(parts, exchange)),
    "* /:path*": answerNotFound,
  };
}

export function answerNotFound(exchange: Exchange): void {
  sendFailure(exchange, {
    code: "not_found",
    ran: "no",
    message: `there is no ${exchange.request.method} at this path`,
  });
}

function queryOf(exchange: Exchange): URLSearchParams {
  return new URL(exchange.request.url ?? "/", "http://daemon.invalid")
    .searchParams;
}

function answerReady({ runtime }: OperatorParts, exchange: Exchange): void {
  const isReady = !runtime.drain.isDraining() &&
    runtime.configuration.current() !== undefined;
  sendText(exchange, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
}

function answerEvents({ ring }: OperatorParts, exchange: Exchange): void {
  const after = Number(queryOf(exchange).get("after") ?? 0);
  const page = ring.read(Number.isFinite(after) ? after : 0);
  sendJson(exchange, 200, { ...page, more: false });
}

async function answerOrder(
  { platform }: OperatorParts,
  exchange: Exchange,
): Promise<void> {
  const query = queryOf(exchange);
  const key = claimKey({
    customer: query.get("customer") ?? "",
    idempotencyKey: query.get("key") ?? "",
    fingerprint: "",
  });
  const row = await platform.readRow(key, PLATFORM_TIMEOUT);
  if (row.isErr()) return refuseUnavailable(exchange, row.error.reason);
  const order = parseClaimRow(row.value);
  if (order === undefined) {
    return sendFailure(exchange, {
      code: "not_found",
      ran: "no",
      message: "this customer has no order with this key",
    });
  }
  sendJson(exchange, 200, order);
}

async function answerConfiguration(
  { runtime, platform }: OperatorParts,
  exchange: Exchange,
): Promise<void> {
  const asked = queryOf(exchange).get("version");
  const current = runtime.configuration.current();
  if (asked === null || Number(asked) === current?.version) {
    if (current === undefined) return answerNotFound(exchange);
    return sendJson(exchange, 200, current);
  }
  const options = { platform, timeout: PLATFORM_TIMEOUT };
  const read = await readVersion(Number(asked), options);
  if (read.isErr()) return refuseUnavailable(exchange, read.error.reason);
  if (read.value === undefined) return answerNotFound(exchange);
  sendJson(exchange, 200, read.value);
}

async function answerHistory(
  { platform }: OperatorParts,
  exchange: Exchange,
): Promise<void> {
  const asked = Number(queryOf(exchange).get("limit") ?? 20);
  const limit = Math.min(LONGEST_HISTORY, Math.max(1, asked || 1));
  const options = { platform, timeout: PLATFORM_TIMEOUT };
  const head = await readHead(options);
  if (head.isErr()) return refuseUnavailable(exchange, head.error.reason);
  const after = Math.max(0, (head.value?.version ?? 0) - limit);
  const history = await readHistory({ after, limit }, options);
  if (history.isErr()) {
    return refuseUnavailable(exchange, history.error.reason);
  }
  sendJson(exchange, 200, { entries: [...history.value].reverse() });
}

async function answerLag(
  { readVersions }: OperatorParts,
  exchange: Exchange,
): Promise<void> {
  const wanted = Number(queryOf(exchange).get("version") ?? 0);
  const versions = await readVersions();
  const daemons = versions.map((one) => ({
    ...one,
    version: one.version ?? -1,
  }));
  const lagging = daemons
    .filter((one) => one.version < wanted)
    .map((one) => one.name);
  sendJson(exchange, 200, { daemons, lagging });
}

const CHANGE = z.object({
  content: z.record(z.string(), z.unknown()),
  change: z.string(),
  expect: z.number().int().nonnegative().optional(),
  author: z.string().max(256).optional(),
});

async function answerApply(
  { runtime, platform }: OperatorParts,
  exchange: Exchange,
): Promise<void> {
  const limits = { bytes: CONFIGURATION_BYTES, timeout: BODY_TIMEOUT };
  const body = await readBody(exchange, limits, runtime.clock);
  if (body.isErr()) return sendFailure(exchange, body.error);
  const parsed = CHANGE.safeParse(parseJson(body.value));
  if (!parsed.success) {
    return sendFailure(exchange, {
      code: "invalid_request",
      ran: "no",
      message: parsed.error.issues[0]?.message ?? "the body is malformed",
    });
  }
  const { content, change, expect, author = "operator" } = parsed.data;
  const checked = readConfiguration(JSON.stringify(content));
  if (checked.isErr()) {
    const reason = checked.error.map(formatProblem).join("; ");
    return sendJson(exchange, 200, { outcome: "rejected", reason });
  }
  const settled = await applyConfiguration({
    change,
    content: content as Json,
    author,
    ...(expect === undefined ? {} : { base: expect }),
  }, { platform });
  if (settled.kind === "unknown") {
    runtime.log("configuration_unknown", { change, reason: settled.reason });
    return sendJson(exchange, 200, { outcome: "unknown" });
  }
  if (settled.kind === "not done") {
    const reason = settled.reason.kind === "conflict"
      ? `version ${settled.reason.version} (change ` +
        `${settled.reason.change}) came first`
      : settled.reason.reason;
    return sendJson(exchange, 200, { outcome: "rejected", reason });
  }
  const { version } = settled.value;
  runtime.log("configuration_applied", { version, change });
  runtime.configuration.announce(version, "");
  sendJson(exchange, 200, { outcome: "accepted", version });
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
}

function refuseUnavailable(exchange: Exchange, reason: string): void {
  sendFailure(exchange, {
    code: "platform_unavailable",
    ran: "no",
    message: `the platform did not answer: ${reason}`,
  });
}
