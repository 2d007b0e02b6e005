/**
 * Queries and commands with JSON bodies.
 */
import type { Milliseconds, Settlement } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";
import type { HttpAnswer, HttpClient } from "./http_client.ts";
import { parseJson, refusalSchema } from "./http_formats.ts";

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

/** Statuses with which a command is refused before it has any effect. */
const REFUSALS: ReadonlySet<number> = new Set([404, 409, 412, 422]);

export async function fetchJson<Value>(
  client: HttpClient,
  query: Query<Value>,
): Promise<Result<Value, string>> {
  const { path, timeout, schema } = query;
  const answer = await client.send({ method: "GET", path }, { timeout });
  if (answer.isErr()) return Err(answer.error.message);
  const { status } = answer.value;
  if (status !== 200) return Err(`unexpected status ${status}`);
  const value = parseJson(textOf(answer.value), schema);
  return value === undefined ? Err("unexpected response body") : Ok(value);
}

export async function postCommand<Value = void>(
  client: HttpClient,
  command: Command<Value>,
): Promise<Settlement<Value>> {
  const answer = await client.send({
    method: "POST",
    path: command.path,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(command.body),
  }, { timeout: command.timeout });
  if (answer.isErr()) {
    const { sent, message } = answer.error;
    return { kind: sent ? "unknown" : "not done", reason: message };
  }
  return settleAnswer(answer.value, command.schema);
}

function settleAnswer<Value>(
  answer: HttpAnswer,
  schema: z.ZodType<Value> | undefined,
): Settlement<Value> {
  if (answer.status >= 200 && answer.status < 300) {
    if (schema === undefined) {
      return { kind: "done", value: undefined as Value };
    }
    const value = parseJson(textOf(answer), schema);
    if (value !== undefined) return { kind: "done", value };
    return { kind: "unknown", reason: "unexpected response body" };
  }
  const refusal = parseJson(textOf(answer), refusalSchema)?.error.code;
  if (REFUSALS.has(answer.status) && refusal !== undefined) {
    return { kind: "not done", reason: refusal };
  }
  const detail = refusal === undefined ? "" : ` (${refusal})`;
  const reason = `unexpected status ${answer.status}${detail}`;
  return { kind: "unknown", reason };
}

function textOf(answer: HttpAnswer): string {
  return Buffer.from(answer.body).toString("utf8");
}
