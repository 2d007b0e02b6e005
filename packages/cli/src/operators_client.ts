/**
 * Client for a daemon's operators' listener. Every call has a timeout, and a
 * failure is a value that states whether the call may have taken effect.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, request } from "undici";
import type { z } from "zod";
import { errorResponseSchema } from "./response_schemas.ts";
import {
  type ExitCode,
  REJECTED,
  UNEXPECTED_RESPONSE,
  UNREACHABLE,
} from "./exit_codes.ts";

export interface ClientFailure {
  /**
   * - `unavailable`: no connection, or the daemon reports that nothing was done.
   * - `lost`: no complete response; the call may have taken effect.
   * - `not-found`: the requested resource does not exist.
   * - `refused`: the daemon rejected the token or the request.
   * - `unexpected`: the response is invalid; the call may have taken effect.
   */
  readonly kind:
    | "unavailable"
    | "lost"
    | "not-found"
    | "refused"
    | "unexpected";
  readonly message: string;
}

export interface OperatorsClient {
  readonly address: string;
  readonly get: <Body>(
    path: string,
    schema: z.ZodType<Body>,
  ) => Promise<Result<Body, ClientFailure>>;
  readonly post: <Body>(
    path: string,
    call: { readonly body: unknown; readonly schema: z.ZodType<Body> },
  ) => Promise<Result<Body, ClientFailure>>;
  readonly close: () => Promise<void>;
}

export interface ClientOptions {
  readonly address: string;
  readonly token: string;
  /** Timeout of each call. */
  readonly deadline: Milliseconds;
}

interface Call {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
}

interface Response {
  readonly status: number;
  readonly text: string;
}

const FIRST_ERROR_STATUS = 300;
const UNAUTHORIZED = 401;
const FORBIDDEN = 403;
const NOT_FOUND = 404;
const FIRST_SERVER_ERROR = 500;

// Errors while connecting, that is, before anything has been sent.
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Creates a client for one daemon. Close it after use. */
export function createOperatorsClient(options: ClientOptions): OperatorsClient {
  const { address, token, deadline } = options;
  const agent = new Agent({ connect: { timeout: deadline } });

  async function send(call: Call): Promise<Result<Response, ClientFailure>> {
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
      return Ok({ status: response.statusCode, text });
    } catch (error) {
      return Err(requestFailure(error, options));
    }
  }

  async function sendAndDecode<Body>(
    call: Call,
    schema: z.ZodType<Body>,
  ): Promise<Result<Body, ClientFailure>> {
    const response = await send(call);
    if (response.isErr()) return response;
    const body = decode(response.value.text, schema);
    const failed = response.value.status >= FIRST_ERROR_STATUS;
    // A rejected change may have an error status and still a valid response body.
    if (body !== undefined && (!failed || call.method === "POST")) {
      return Ok(body);
    }
    return Err(responseFailure(response.value, address));
  }

  return {
    address,
    get: (path, schema) => sendAndDecode({ method: "GET", path }, schema),
    post: (path, { body, schema }) =>
      sendAndDecode(
        { method: "POST", path, body: JSON.stringify(body) },
        schema,
      ),
    close: () => agent.close(),
  };
}

function decode<Body>(
  text: string,
  schema: z.ZodType<Body>,
): Body | undefined {
  return schema.safeParse(parseJson(text)).data;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function responseFailure(
  { status, text }: Response,
  address: string,
): ClientFailure {
  if (status < FIRST_ERROR_STATUS) {
    const message = `${address} sent an invalid response`;
    return { kind: "unexpected", message };
  }
  const error = errorResponseSchema.safeParse(parseJson(text)).data?.error;
  const detail = error?.message ?? (text.trim() || "no message");
  const message = status === UNAUTHORIZED || status === FORBIDDEN
    ? `${address} rejected the token: ${detail}`
    : `${address} responded with status ${status}: ${detail}`;
  if (status === NOT_FOUND) return { kind: "not-found", message };
  if (status < FIRST_SERVER_ERROR) return { kind: "refused", message };
  // A proxy's server error does not show whether the daemon handled the call.
  return { kind: error?.ran === "no" ? "unavailable" : "lost", message };
}

function requestFailure(error: unknown, options: ClientOptions): ClientFailure {
  const { address, deadline } = options;
  const { name, code, message } = error as NodeJS.ErrnoException;
  if (code !== undefined && CONNECT_ERRORS.has(code)) {
    const text = `cannot connect to ${address}: ${message}`;
    return { kind: "unavailable", message: text };
  }
  const text = name === "TimeoutError"
    ? `${address} did not respond within ${deadline} ms`
    : `the connection to ${address} was lost: ${message}`;
  return { kind: "lost", message: text };
}

/** Returns the exit code for a failed call. */
export function exitCodeOf(failure: ClientFailure): ExitCode {
  if (failure.kind === "not-found") return REJECTED;
  if (failure.kind === "refused") return UNEXPECTED_RESPONSE;
  if (failure.kind === "unexpected") return UNEXPECTED_RESPONSE;
  return UNREACHABLE;
}
