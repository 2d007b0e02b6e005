/**
 * Queries and commands over HTTP with JSON bodies.
 */
import type { Milliseconds, Settlement } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";
import type { HttpClient, HttpResponse } from "./http_client.ts";
import { errorResponseSchema, parseJson } from "./http_schemas.ts";

interface Query<Value> {
  readonly path: string;
  readonly timeout: Milliseconds;
  readonly schema: z.ZodType<Value>;
}

interface Command<Value> {
  readonly path: string;
  readonly body: unknown;
  readonly timeout: Milliseconds;
  readonly schema?: z.ZodType<Value>;
}

/** Statuses that reject a command before it has any effect. */
const REJECTION_STATUSES: ReadonlySet<number> = new Set([404, 409, 412, 422]);

export async function fetchJson<Value>(
  client: HttpClient,
  query: Query<Value>,
): Promise<Result<Value, string>> {
  const { path, timeout, schema } = query;
  const response = await client.send({ method: "GET", path }, { timeout });
  if (response.isErr()) return Err(response.error.message);
  const { status } = response.value;
  if (status !== 200) return Err(`unexpected status ${status}`);
  const value = parseJson(decodeBody(response.value), schema);
  return value === undefined ? Err("unexpected response body") : Ok(value);
}

export async function postCommand<Value = void>(
  client: HttpClient,
  command: Command<Value>,
): Promise<Settlement<Value>> {
  const response = await client.send({
    method: "POST",
    path: command.path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(command.body),
  }, { timeout: command.timeout });
  if (response.isErr()) {
    const { sent, message } = response.error;
    return { kind: sent ? "unknown" : "not done", reason: message };
  }
  return settleResponse(response.value, command.schema);
}

function settleResponse<Value>(
  response: HttpResponse,
  schema: z.ZodType<Value> | undefined,
): Settlement<Value> {
  if (response.status >= 200 && response.status < 300) {
    if (schema === undefined) {
      return { kind: "done", value: undefined as Value };
    }
    const value = parseJson(decodeBody(response), schema);
    if (value !== undefined) return { kind: "done", value };
    return { kind: "unknown", reason: "unexpected response body" };
  }
  const errorCode = parseJson(decodeBody(response), errorResponseSchema)?.error
    .code;
  if (REJECTION_STATUSES.has(response.status) && errorCode !== undefined) {
    return { kind: "not done", reason: errorCode };
  }
  const detail = errorCode === undefined ? "" : ` (${errorCode})`;
  const reason = `unexpected status ${response.status}${detail}`;
  return { kind: "unknown", reason };
}

function decodeBody(response: HttpResponse): string {
  return Buffer.from(response.body).toString("utf8");
}
