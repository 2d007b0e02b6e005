/**
 * Client of a daemon's operators' listener. Every call has a deadline, and
 * failures are values that say whether the call may have had an effect.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, request } from "undici";
import type { z } from "zod";
import {
  type ExitCode,
  REJECTED,
  UNEXPECTED_ANSWER,
  UNREACHABLE,
} from "./exit_codes.ts";

export interface ClientFailure {
  /**
   * - `unreachable`: no connection; nothing was sent.
   * - `lost`: no complete response; the call may have had an effect.
   * - `not-found`: the daemon has no such thing.
   * - `unexpected`: the daemon refused the token or answered nonsense.
   */
  readonly kind: "unreachable" | "lost" | "not-found" | "unexpected";
  readonly message: string;
}

export interface OperatorsClient {
  readonly address: string;
  readonly get: <Answer>(
    path: string,
    schema: z.ZodType<Answer>,
  ) => Promise<Result<Answer, ClientFailure>>;
  readonly post: <Answer>(
    path: string,
    call: { readonly body: unknown; readonly schema: z.ZodType<Answer> },
  ) => Promise<Result<Answer, ClientFailure>>;
  readonly close: () => Promise<void>;
}

export interface ClientOptions {
  readonly address: string;
  readonly token: string;
  /** Limit of each call. */
  readonly deadline: Milliseconds;
}

interface Call {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
}

const HTTP_OK_END = 300;
const NOT_FOUND = 404;
const UNAUTHORIZED: readonly number[] = [401, 403];

// Errors of the connect phase; nothing has been sent when they occur.
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** A client for one daemon; close it after use. */
export function createOperatorsClient(options: ClientOptions): OperatorsClient {
  const { address, token, deadline } = options;
  const agent = new Agent({ connect: { timeout: deadline } });

  async function send(call: Call): Promise<Result<string, ClientFailure>> {
    try {
      const response = await request(`http://${address}${call.path}`, {
        method: call.method,
        dispatcher: agent,
        signal: AbortSignal.timeout(deadline),
        headers: {
          "authorization": `Bearer ${token}`,
          "content-type": "application/json",
        },
        ...(call.body === undefined ? {} : { body: call.body }),
      });
      const text = await response.body.text();
      const failure = failureOf(response.statusCode, { text, address });
      return failure === undefined ? Ok(text) : Err(failure);
    } catch (error) {
      return Err(describeError(error, options));
    }
  }

  async function exchange<Answer>(
    call: Call,
    schema: z.ZodType<Answer>,
  ): Promise<Result<Answer, ClientFailure>> {
    const sent = await send(call);
    return sent.andThen((text) => decode(text, { schema, address }));
  }

  return {
    address,
    get: (path, schema) => exchange({ method: "GET", path }, schema),
    post: (path, { body, schema }) =>
      exchange({ method: "POST", path, body: JSON.stringify(body) }, schema),
    close: () => agent.close(),
  };
}

function failureOf(
  status: number,
  { text, address }: { readonly text: string; readonly address: string },
): ClientFailure | undefined {
  if (status < HTTP_OK_END) return undefined;
  const detail = messageOf(text);
  if (status === NOT_FOUND) return { kind: "not-found", message: detail };
  const message = UNAUTHORIZED.includes(status)
    ? `${address} refused the token: ${detail}`
    : `${address} answered with status ${status}: ${detail}`;
  // A gateway status or a server error does not tell what has happened.
  const kind = status >= 500 ? "lost" : "unexpected";
  return { kind, message };
}

function messageOf(text: string): string {
  try {
    const message = JSON.parse(text)?.error?.message;
    if (typeof message === "string") return message;
  } catch {
    // The text itself is the best description of an answer that is no JSON.
  }
  return text.trim() === "" ? "no message" : text.trim();
}

function decode<Answer>(
  text: string,
  { schema, address }: {
    readonly schema: z.ZodType<Answer>;
    readonly address: string;
  },
): Result<Answer, ClientFailure> {
  const failure: ClientFailure = {
    kind: "unexpected",
    message: `${address} gave an answer of an unknown form`,
  };
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? Ok(parsed.data) : Err(failure);
  } catch {
    return Err(failure);
  }
}

function describeError(error: unknown, options: ClientOptions): ClientFailure {
  const { address, deadline } = options;
  const { name, code, message } = error as NodeJS.ErrnoException;
  if (code !== undefined && CONNECT_ERRORS.has(code)) {
    const text = `cannot connect to ${address}: ${message}`;
    return { kind: "unreachable", message: text };
  }
  const text = name === "TimeoutError"
    ? `${address} did not answer within ${deadline} ms`
    : `the connection to ${address} broke: ${message}`;
  return { kind: "lost", message: text };
}

/** The exit code of a query that failed. */
export function exitCodeOf(failure: ClientFailure): ExitCode {
  if (failure.kind === "not-found") return REJECTED;
  if (failure.kind === "unexpected") return UNEXPECTED_ANSWER;
  return UNREACHABLE;
}
