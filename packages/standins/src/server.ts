/**
 * The HTTP server that the stand-ins are built on: routing, the faults that all
 * of them support, and freezing of open connections. The platform stand-in has
 * a server of its own.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { z } from "zod";

/** A running stand-in. */
export interface Standin {
  /** Host and port, such as `127.0.0.1:7400`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Options of all stand-ins that use this server. */
export const serverOptions = z.object({
  /** 0 picks a free port. */
  port: z.coerce.number().int().default(0),
  /** Seed of the random generator that injects faults. */
  seed: z.coerce.number().int().default(1),
  /** Divides all simulated durations, so that tests run faster. */
  speed: z.coerce.number().positive().default(1),
});

/** Faults of these stand-ins, which `POST /control/faults` sets. */
export const commonFaults = z.object({
  /** Milliseconds from the arrival of a request to its handling. */
  delay: z.number().nonnegative().default(0),
  /** Fraction (0 to 1) of requests answered with 500 without any effect. */
  errorRate: z.number().min(0).max(1).default(0),
  /** Resets connections as soon as a request arrives. */
  outage: z.boolean().default(false),
  /** Handles requests, but resets the connection instead of responding. */
  loseAnswers: z.boolean().default(false),
  /** Accepts requests, but neither handles nor answers them. */
  silent: z.boolean().default(false),
  /**
   * Permanently stops sending on all connections that are open now, without
   * closing them. New connections work.
   */
  freezeConnections: z.boolean().default(false),
});

export type CommonFaults = z.output<typeof commonFaults>;

export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  /**
   * Reads the whole body. Rejects when it exceeds 64 MiB or the connection
   * closes first.
   */
  readBody(): Promise<Buffer>;
  /** Reads and validates a JSON body. Rejects when it is invalid. */
  readJson<Value>(schema: z.ZodType<Value>): Promise<Value>;
}

export type Handler = (request: StandinRequest) => Promise<void> | void;

export interface StandinServer<Faults> extends Standin {
  readonly faults: () => Faults;
  /** Returns true with the given probability, using the seeded generator. */
  readonly chance: (probability: number) => boolean;
  /** Waits for a simulated duration, which the `speed` option divides. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

interface ServerSetup<Schema extends z.ZodType<CommonFaults>> {
  readonly options: z.output<typeof serverOptions>;
  readonly faultSchema: Schema;
  /**
   * Finds the handler of a request; undefined gives a 404. `/control/faults` is
   * handled by the server itself.
   */
  readonly route: (method: string, path: string) => Handler | undefined;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Starts a server on loopback. Rejects when it can't listen on the port. */
export async function startServer<Schema extends z.ZodType<CommonFaults>>(
  setup: ServerSetup<Schema>,
): Promise<StandinServer<z.output<Schema>>> {
  const { options, faultSchema } = setup;
  const random = xorshift128plus(options.seed);
  const sockets = new Set<Socket>();
  const frozen = new WeakSet<Socket>();
  let closed = false;
  let faults = faultSchema.parse({}) as z.output<Schema>;

  const chance = (probability: number) =>
    probability > 0 && uniformInt(random, 0, 999_999) < probability * 1e6;

  /** Never resolves once the stand-in is closed, which ends its loops. */
  async function wait(milliseconds: number): Promise<void> {
    await sleep(milliseconds / options.speed, undefined, { ref: false });
    if (closed) await new Promise(() => {});
  }

  function freezeSockets(exempt: Socket): void {
    for (const socket of sockets) {
      if (socket === exempt) continue;
      frozen.add(socket);
      // The client must see neither data nor the end of the connection.
      socket.write = () => true;
      socket.end = () => socket;
      socket.destroySoon = () => {};
    }
  }

  async function changeFaults(request: StandinRequest): Promise<void> {
    const change = await request.readJson(z.record(z.string(), z.unknown()));
    const merged = faultSchema.parse({ ...faults, ...change });
    if (merged.freezeConnections) freezeSockets(request.incoming.socket);
    faults = { ...merged, freezeConnections: false } as z.output<Schema>;
    sendJson(request.response, 200, faults);
  }

  async function handle(request: StandinRequest): Promise<void> {
    const { method, path, response, incoming } = request;
    if (path === "/control/faults") {
      if (method === "POST") return await changeFaults(request);
      return sendJson(response, 200, faults);
    }
    const handler = setup.route(method, path);
    if (handler === undefined) {
      await request.readBody();
      return sendError(response, 404, { code: "not_found" });
    }
    if (path.startsWith("/control/")) return await handler(request);
    if (frozen.has(incoming.socket) || faults.silent) return;
    if (faults.outage) return void incoming.socket.resetAndDestroy();
    if (faults.delay > 0) await wait(faults.delay);
    if (frozen.has(incoming.socket)) return;
    if (chance(faults.errorRate)) {
      return sendError(response, 500, { code: "injected" });
    }
    if (faults.loseAnswers) {
      response.write = () => true;
      response.end = () => {
        incoming.socket.resetAndDestroy();
        return response;
      };
    }
    await handler(request);
  }

  const server = createServer((incoming, response) => {
    const request = createRequest(incoming, response);
    handle(request).catch((error) => {
      if (response.headersSent || error instanceof BodyError) {
        incoming.socket.destroy();
      } else {
        sendError(response, 400, { code: "invalid", message: `${error}` });
      }
    });
  });
  // The timeouts of node:http would close frozen connections.
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    faults: () => faults,
    chance,
    wait,
    close: () =>
      new Promise((resolve) => {
        closed = true;
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

/** The request body was too large or ended early. */
class BodyError extends Error {}

function createRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
): StandinRequest {
  const url = new URL(incoming.url ?? "/", "http://standin");

  async function readBody(): Promise<Buffer> {
    const parts: Buffer[] = [];
    let length = 0;
    try {
      for await (const part of incoming) {
        length += part.length;
        if (length > MAX_BODY_BYTES) throw new BodyError("body exceeds 64 MiB");
        parts.push(part);
      }
    } catch (error) {
      throw new BodyError(String(error));
    }
    return Buffer.concat(parts);
  }

  return {
    method: incoming.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    headers: incoming.headers,
    incoming,
    response,
    readBody,
    readJson: async (schema) =>
      schema.parse(JSON.parse((await readBody()).toString("utf8"))),
  };
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const content = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": content.length,
  });
  response.end(content);
}

/** Sends an error response; the body is `{ error }`. */
export function sendError(
  response: ServerResponse,
  status: number,
  error: { readonly code: string; readonly [field: string]: unknown },
): void {
  sendJson(response, status, { error });
}
