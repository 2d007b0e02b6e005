/**
 * A fake operators' listener for tests, with scripted responses.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";

export const FAKE_TOKEN = "fake-operator-token";

/** Closes the connection without a response. */
export const BROKEN_CONNECTION = Symbol("broken connection");

/** Accepts the request and never responds. */
export const NO_RESPONSE = Symbol("no response");

interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

export type FakeResponse =
  | JsonResponse
  | typeof BROKEN_CONNECTION
  | typeof NO_RESPONSE;

export interface FakeCall {
  /** Method and path with query, such as "GET /status". */
  readonly target: string;
  readonly body: unknown;
}

/** Returns the response to a call; undefined for status 404. */
export type ResponseScript = (call: FakeCall) => FakeResponse | undefined;

export interface FakeListener {
  readonly address: string;
  readonly calls: readonly FakeCall[];
  readonly close: () => Promise<void>;
}

/** Creates a response with status 200. */
export function ok(body: unknown): JsonResponse {
  return { status: 200, body };
}

/** Starts a listener on a free port. */
export async function createFakeListener(
  script: ResponseScript,
): Promise<FakeListener> {
  const calls: FakeCall[] = [];

  async function respond(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await text(incoming);
    const call = {
      target: `${incoming.method} ${incoming.url}`,
      body: body === "" ? undefined : JSON.parse(body),
    };
    calls.push(call);
    const allowed = incoming.headers.authorization === `Bearer ${FAKE_TOKEN}`;
    const chosen = allowed ? script(call) : errorResponse(401, "invalid token");
    if (chosen === NO_RESPONSE) return;
    if (chosen === BROKEN_CONNECTION) {
      incoming.socket.destroy();
      return;
    }
    const reply = chosen ?? errorResponse(404, "not found");
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body));
  }

  const server = createServer((incoming, response) => {
    void respond(incoming, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    calls,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function errorResponse(status: number, message: string): JsonResponse {
  return { status, body: { error: { message } } };
}
