/**
 * Calls between daemons: JSON-RPC 2.0 over HTTP on the peers' listener. Calls
 * are authenticated with the shared peer secret.
 */
import { timingSafeEqual } from "node:crypto";
import type { Clock } from "@peridotvalve/clock";
import { CLOCK_HEADER } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import {
  type JSONRPCRequest,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent } from "undici";
import { readBody } from "../http/body.ts";
import { type Exchange, readHeader } from "../http/exchange.ts";
import type { Handler } from "../http/gateway.ts";
import { sendFailure, sendJson } from "../http/respond.ts";
import type { Stamps } from "./stamps.ts";

const MAX_REQUEST_BYTES = 64 * 1024;
const REQUEST_TIMEOUT: Milliseconds = 5_000;

/** The methods that a daemon serves, by name. */
export type RpcMethods = Readonly<
  Record<string, (params: unknown) => unknown | Promise<unknown>>
>;

export function createRpcHandler(
  methods: RpcMethods,
  options: {
    readonly secret: string;
    readonly clock: Clock;
    readonly stamps: Stamps;
  },
): Handler {
  const server = new JSONRPCServer();
  for (const [name, method] of Object.entries(methods)) {
    server.addMethod(name, method);
  }
  return async (exchange) => {
    if (!hasBearerToken(exchange, options.secret)) {
      return sendFailure(exchange, {
        code: "invalid_api_key",
        ran: "no",
        message: "the peer secret is missing or wrong",
      });
    }
    const limits = { bytes: MAX_REQUEST_BYTES, timeout: REQUEST_TIMEOUT };
    const body = await readBody(exchange, limits);
    if (body.isErr()) return sendFailure(exchange, body.error);
    const from = exchange.request.socket.remoteAddress ?? "";
    options.stamps.observe(readHeader(exchange, CLOCK_HEADER), from);
    const text = body.value.bytes.toString("utf8");
    body.value.release();
    const answer = await server.receiveJSON(text);
    const headers = Object.entries(options.stamps.headers());
    for (const [name, value] of headers) {
      exchange.response.setHeader(name, value);
    }
    sendJson(exchange, 200, answer);
  };
}

/** Compares a bearer token in constant time. */
export function hasBearerToken(exchange: Exchange, token: string): boolean {
  const header = readHeader(exchange, "authorization") ?? "";
  const expected = Buffer.from(`Bearer ${token}`);
  const actual = Buffer.from(header);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

export interface RpcClient {
  call(
    address: string,
    request: { readonly method: string; readonly params: unknown },
    timeout: Milliseconds,
  ): Promise<Result<unknown, string>>;
  close(): Promise<void>;
}

export function createRpcClient(secret: string, stamps: Stamps): RpcClient {
  const agent = new Agent({ pipelining: 1, keepAliveTimeout: 4_000 });
  let lastId = 0;
  return {
    async call(address, { method, params }, timeout) {
      lastId += 1;
      const request: JSONRPCRequest = {
        jsonrpc: "2.0",
        id: lastId,
        method,
        params,
      };
      try {
        const answer = await agent.request({
          origin: `http://${address}`,
          path: "/rpc",
          method: "POST",
          headers: {
            "content-type": "application/json",
            "authorization": `Bearer ${secret}`,
            ...stamps.headers(),
          },
          body: JSON.stringify(request),
          signal: AbortSignal.timeout(timeout),
        });
        stamps.observe(answer.headers[CLOCK_HEADER], address);
        return toResult(await answer.body.json());
      } catch (error) {
        return Err((error as Error).message);
      }
    },
    close: () => agent.destroy(),
  };
}

function toResult(answer: unknown): Result<unknown, string> {
  const response = answer as JSONRPCResponse;
  if (response.error != null) return Err(response.error.message);
  return Ok(response.result);
}
