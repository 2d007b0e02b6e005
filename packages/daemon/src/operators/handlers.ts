/**
 * Handlers of the operators' listener: liveness, readiness, metrics, status,
 * events, orders and the configuration.
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
import { hasBearerToken } from "../peers/rpc.ts";
import type { Runtime } from "../runtime.ts";
import type { DaemonStatus } from "../status.ts";
import type { DaemonVersion } from "./daemon_version.ts";

const PLATFORM_TIMEOUT: Milliseconds = 2_000;
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;
const BODY_TIMEOUT: Milliseconds = 10_000;
const MAX_HISTORY_ENTRIES = 1_000;

export interface OperatorHandlersOptions {
  readonly runtime: Runtime;
  readonly platform: Platform;
  readonly ring: EventRing;
  readonly status: () => DaemonStatus;
  /** Updates the gauges before the metrics are rendered. */
  readonly refreshGauges: () => void;
  /** Versions of all known daemons; undefined for one that did not respond. */
  readonly readVersions: () => Promise<readonly DaemonVersion[]>;
}

export function createOperatorHandlers(
  options: OperatorHandlersOptions,
): Readonly<Record<string, Handler>> {
  const authenticated = (handler: Handler): Handler => (exchange) => {
    if (hasBearerToken(exchange, options.runtime.settings.operatorToken)) {
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
    "GET /readyz": (exchange) => handleReadiness(options, exchange),
    "GET /metrics": authenticated((exchange) => {
      options.refreshGauges();
      sendText(exchange, 200, options.runtime.meters.registry.render());
    }),
    "GET /status": authenticated((exchange) =>
      sendJson(exchange, 200, options.status())
    ),
    "GET /events": authenticated((exchange) => handleEvents(options, exchange)),
    "GET /orders": authenticated((exchange) => handleOrder(options, exchange)),
    "GET /configuration": authenticated((exchange) =>
      handleConfiguration(options, exchange)
    ),
    "GET /configuration/history": authenticated((exchange) =>
      handleHistory(options, exchange)
    ),
    "GET /configuration/lag": authenticated((exchange) =>
      handleLag(options, exchange)
    ),
    "POST /configuration": authenticated((exchange) =>
      handleApply(options, exchange)
    ),
    "* /:path*": handleNotFound,
  };
}

export function handleNotFound(exchange: Exchange): void {
  sendFailure(exchange, {
    code: "not_found",
    ran: "no",
    message: `there is no ${exchange.request.method} at this path`,
  });
}

function parseQuery(exchange: Exchange): URLSearchParams {
  return new URL(exchange.request.url ?? "/", "http://daemon.invalid")
    .searchParams;
}

function handleReadiness(
  { runtime }: OperatorHandlersOptions,
  exchange: Exchange,
): void {
  const isReady = !runtime.drain.isDraining() &&
    runtime.configuration.current() !== undefined;
  sendText(exchange, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
}

function handleEvents(
  { ring }: OperatorHandlersOptions,
  exchange: Exchange,
): void {
  const after = Number(parseQuery(exchange).get("after") ?? 0);
  const page = ring.read(Number.isFinite(after) ? after : 0);
  sendJson(exchange, 200, { ...page, more: false });
}

async function handleOrder(
  { platform }: OperatorHandlersOptions,
  exchange: Exchange,
): Promise<void> {
  const query = parseQuery(exchange);
  const key = claimKey({
    customer: query.get("customer") ?? "",
    idempotencyKey: query.get("key") ?? "",
    fingerprint: "",
  });
  const row = await platform.readRow(key, PLATFORM_TIMEOUT);
  if (row.isErr()) return sendPlatformUnavailable(exchange, row.error.reason);
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

async function handleConfiguration(
  { runtime, platform }: OperatorHandlersOptions,
  exchange: Exchange,
): Promise<void> {
  const requestedVersion = parseQuery(exchange).get("version");
  const current = runtime.configuration.current();
  if (
    requestedVersion === null || Number(requestedVersion) === current?.version
  ) {
    if (current === undefined) return handleNotFound(exchange);
    return sendJson(exchange, 200, current);
  }
  const options = { platform, timeout: PLATFORM_TIMEOUT };
  const read = await readVersion(Number(requestedVersion), options);
  if (read.isErr()) return sendPlatformUnavailable(exchange, read.error.reason);
  if (read.value === undefined) return handleNotFound(exchange);
  sendJson(exchange, 200, read.value);
}

async function handleHistory(
  { platform }: OperatorHandlersOptions,
  exchange: Exchange,
): Promise<void> {
  const requestedLimit = Number(parseQuery(exchange).get("limit") ?? 20);
  const limit = Math.min(MAX_HISTORY_ENTRIES, Math.max(1, requestedLimit || 1));
  const options = { platform, timeout: PLATFORM_TIMEOUT };
  const head = await readHead(options);
  if (head.isErr()) return sendPlatformUnavailable(exchange, head.error.reason);
  const after = Math.max(0, (head.value?.version ?? 0) - limit);
  const history = await readHistory({ after, limit }, options);
  if (history.isErr()) {
    return sendPlatformUnavailable(exchange, history.error.reason);
  }
  sendJson(exchange, 200, { entries: [...history.value].reverse() });
}

async function handleLag(
  { readVersions }: OperatorHandlersOptions,
  exchange: Exchange,
): Promise<void> {
  const minimumVersion = Number(parseQuery(exchange).get("version") ?? 0);
  const versions = await readVersions();
  const daemons = versions.map((one) => ({
    ...one,
    version: one.version ?? -1,
  }));
  const lagging = daemons
    .filter((one) => one.version < minimumVersion)
    .map((one) => one.name);
  sendJson(exchange, 200, { daemons, lagging });
}

const CHANGE_REQUEST = z.object({
  content: z.record(z.string(), z.unknown()),
  change: z.string(),
  expect: z.number().int().nonnegative().optional(),
  author: z.string().max(256).optional(),
});

async function handleApply(
  { runtime, platform }: OperatorHandlersOptions,
  exchange: Exchange,
): Promise<void> {
  const limits = { bytes: MAX_CONFIGURATION_BYTES, timeout: BODY_TIMEOUT };
  const body = await readBody(exchange, limits);
  if (body.isErr()) return sendFailure(exchange, body.error);
  const parsed = CHANGE_REQUEST.safeParse(parseJson(body.value.bytes));
  body.value.release();
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
  const applied = await applyConfiguration({
    change,
    content: content as Json,
    author,
    ...(expect === undefined ? {} : { base: expect }),
  }, { platform });
  if (applied.kind === "unknown") {
    runtime.log("configuration_unknown", { change, reason: applied.reason });
    return sendJson(exchange, 200, { outcome: "unknown" });
  }
  if (applied.kind === "not done") {
    const reason = applied.reason.kind === "conflict"
      ? `version ${applied.reason.version} (change ` +
        `${applied.reason.change}) came first`
      : applied.reason.reason;
    return sendJson(exchange, 200, { outcome: "rejected", reason });
  }
  const { version } = applied.value;
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

function sendPlatformUnavailable(exchange: Exchange, reason: string): void {
  sendFailure(exchange, {
    code: "platform_unavailable",
    ran: "no",
    message: `the platform did not answer: ${reason}`,
  });
}
