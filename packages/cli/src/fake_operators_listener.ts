/**
 * A small operators' listener for tests: fixed answers by method and path.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";

export const FAKE_TOKEN = "fake-operator-token";

/** Breaks the connection instead of answering. */
export const BROKEN = Symbol("broken connection");

/** Accepts the request and never answers. */
export const SILENT = Symbol("no answer");

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

export type Answer = Reply | typeof BROKEN | typeof SILENT;

export interface FakeCall {
  /** Method and path with query, such as "GET /status". */
  readonly target: string;
  readonly body: unknown;
}

/** Chooses the answer to a call; undefined answers with 404. */
export type Script = (call: FakeCall) => Answer | undefined;

export interface FakeListener {
  readonly address: string;
  readonly calls: readonly FakeCall[];
  readonly close: () => Promise<void>;
}

/** An answer with status 200. */
export function ok(body: unknown): Reply {
  return { status: 200, body };
}

/** Starts a listener on a free port. */
export async function createFakeListener(
  script: Script,
): Promise<FakeListener> {
  const calls: FakeCall[] = [];

  async function answer(
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
    const chosen = allowed ? script(call) : refuse(401, "invalid token");
    if (chosen === SILENT) return;
    if (chosen === BROKEN) {
      incoming.socket.destroy();
      return;
    }
    const reply = chosen ?? refuse(404, "nothing here");
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body));
  }

  const server = createServer((incoming, response) => {
    void answer(incoming, response);
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

function refuse(status: number, message: string): Reply {
  return { status, body: { error: { message } } };
}
