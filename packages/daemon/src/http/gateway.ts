/**
 * An HTTP listener: a moleculer-web gateway whose aliases map to actions of the
 * same broker. Actions write the response themselves, because streams and typed
 * failures need control over the headers and the end of the response.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Clock } from "@peridotvalve/clock";
import type { ServerConnections } from "@peridotvalve/connections";
import { toErrorResponse } from "@peridotvalve/errors";
import type { Milliseconds } from "@peridotvalve/types";
import type { Context, Service, ServiceBroker } from "moleculer";
import WebGateway from "moleculer-web";
import { Err, Ok, type Result } from "ts-results-es";
import { createExchange, type Exchange } from "./exchange.ts";
import type { Intake, ListenerName } from "./intake.ts";
import { sendFailure } from "./respond.ts";

/** Handles one exchange and writes its complete response. */
export type Handler = (exchange: Exchange) => void | Promise<void>;

export interface GatewayOptions {
  /** Name of the listener and prefix of its action names. */
  readonly name: ListenerName;
  readonly address: string;
  /** Handlers by route, such as "POST /v1/chat/completions". */
  readonly handlers: Readonly<Record<string, Handler>>;
  readonly clock: Clock;
  readonly intake: Intake;
  /** Called with an error that a handler threw. */
  readonly onUnhandledError: (error: unknown, exchange: Exchange) => void;
}

export interface Gateway {
  /** The address that it listens on, with the assigned port. */
  address(): string;
  /** Sets the time limit in ms for receiving a request's headers. */
  setHeadersTimeout(timeout: Milliseconds): void;
  /**
   * Stops accepting connections, closes each one when it becomes idle, and
   * resolves when all have closed.
   */
  close(): Promise<void>;
  /** Closes all open connections at once, including those in use. */
  cut(): void;
}

interface ExchangeParams {
  readonly $req: IncomingMessage;
  readonly $res: ServerResponse;
}

// Longer than the idle timeout of common load balancers, so that the balancer
// is the side that closes an idle connection.
const KEEP_ALIVE_TIMEOUT: Milliseconds = 75_000;

const KEEP_ALIVE_PROBE_DELAY: Milliseconds = 15_000;

/** Applies until a configuration sets the timeout. */
const DEFAULT_HEADERS_TIMEOUT: Milliseconds = 10_000;

/** Interval at which the server checks connections for header timeouts. */
const DEADLINE_CHECK_INTERVAL: Milliseconds = 500;

/** Interval at which a closing listener closes idle connections. */
const IDLE_SWEEP_INTERVAL: Milliseconds = 100;

/** Returns an error if the address cannot be listened on. */
export async function createGateway(
  broker: ServiceBroker,
  options: GatewayOptions,
): Promise<Result<Gateway, string>> {
  const entries = Object.entries(options.handlers);
  createActions(broker, options);
  const [ip, port] = splitAddress(options.address);
  const service = broker.createService({
    name: `${options.name}-gateway`,
    mixins: [WebGateway as never],
    methods: { createServer: createServerWithDeadlineChecks },
    settings: {
      ip,
      port,
      logRequest: null,
      logResponse: null,
      log4XXResponses: false,
      onError: sendNoRoute,
      routes: [{
        path: "/",
        bodyParsers: false,
        mergeParams: false,
        mappingPolicy: "restrict",
        logging: false,
        aliases: Object.fromEntries(
          entries.map(([route], index) => [
            route,
            {
              action: `${options.name}.${actionName(index)}`,
              passReqResToParams: true,
            },
          ]),
        ),
      }],
    },
  });
  const server = (service as Service & { readonly server: Server }).server;
  const listening = await waitForListening(server);
  if (listening.isErr()) {
    return listening.mapErr((reason) =>
      `the ${options.name} listener cannot be opened: ${reason}`
    );
  }
  await broker.waitForServices(`${options.name}-gateway`);
  configureServer(server);
  const connections = options.intake.track(server, options.name);
  server.on("request", (request, response) => {
    connections.begin(request.socket, response);
  });
  return Ok({
    setHeadersTimeout(timeout) {
      server.headersTimeout = timeout;
    },
    address: () => formatAddress(server),
    async close() {
      const ended = new AbortController();
      const sweeping = closeIdleUntil(ended.signal, connections, options.clock);
      await broker.destroyService(service);
      ended.abort();
      await sweeping;
    },
    cut: () => server.closeAllConnections(),
  });
}

/** moleculer-web itself hangs when the address is in use. */
async function waitForListening(server: Server): Promise<Result<void, string>> {
  try {
    // Rejects with the first "error" event.
    if (!server.listening) await once(server, "listening");
    return Ok(undefined);
  } catch (error) {
    return Err((error as Error).message);
  }
}

/**
 * `server.close` closes only the connections that are idle when it is called. A
 * connection whose response ends later would stay open for the keep-alive
 * timeout.
 */
async function closeIdleUntil(
  signal: AbortSignal,
  connections: ServerConnections,
  clock: Clock,
): Promise<void> {
  while (!signal.aborted) {
    connections.closeIdle();
    await clock.sleep(IDLE_SWEEP_INTERVAL, signal);
  }
}

function createActions(broker: ServiceBroker, options: GatewayOptions): void {
  const actions = Object.values(options.handlers).map((handler, index) => [
    actionName(index),
    (context: Context<ExchangeParams>) =>
      runHandler(handler, context.params, options),
  ]);
  broker.createService({
    name: options.name,
    actions: Object.fromEntries(actions),
  });
}

function actionName(index: number): string {
  return `handle${index}`;
}

async function runHandler(
  handler: Handler,
  params: ExchangeParams,
  options: GatewayOptions,
): Promise<void> {
  const exchange = createExchange(params.$req, params.$res, options);
  try {
    await handler(exchange);
  } catch (error) {
    options.onUnhandledError(error, exchange);
    // The handler threw, so it is unknown whether the work ran.
    sendFailure(exchange, {
      code: "internal_error",
      ran: "unknown",
      message: "internal error",
    });
    if (!exchange.response.writableEnded) exchange.response.destroy();
  }
}

/**
 * The default server checks header timeouts only every 30 s, and not at all
 * once it is closing.
 */
function createServerWithDeadlineChecks(
  this: { server: Server; readonly httpHandler: RequestListener },
): void {
  this.server = createServer(
    { connectionsCheckingInterval: DEADLINE_CHECK_INTERVAL },
    this.httpHandler,
  );
}

/** Responds to requests that match no route, such as with double slashes. */
function sendNoRoute(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  if (response.headersSent) return;
  const { status, body } = toErrorResponse({
    code: "not_found",
    ran: "no",
    message: "there is nothing at this path",
  }, "");
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

function configureServer(server: Server): void {
  server.headersTimeout = DEFAULT_HEADERS_TIMEOUT;
  // `readBody` has its own time limit, which responds with a typed failure.
  server.requestTimeout = 0;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT;
  server.on("connection", (socket: Socket) => {
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY);
    socket.setNoDelay(true);
  });
  /** Requests that are not answered, by connection. */
  const open = new WeakMap<Socket, Set<IncomingMessage>>();
  server.on("request", (request, response) => {
    const requests = open.get(request.socket) ?? new Set();
    open.set(request.socket, requests.add(request));
    response.once("close", () => requests.delete(request));
  });
  server.on("clientError", (error: Error, socket: Socket) => {
    const requests = [...open.get(socket) ?? []];
    // The caller would take the failure for that of the request before, which
    // may run.
    if (requests.some(({ complete }) => complete)) socket.destroy();
    else sendClientError(error, socket);
  });
}

/** Responds to invalid HTTP and to headers that did not arrive in time. */
function sendClientError(error: Error, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const code = (error as NodeJS.ErrnoException).code;
  const isTimeout = code === "ERR_HTTP_REQUEST_TIMEOUT";
  const { status, body } = toErrorResponse({
    code: isTimeout ? "request_timeout" : "invalid_request",
    ran: "no",
    message: isTimeout
      ? "the request headers did not arrive in time"
      : "the request is not valid HTTP",
  }, "");
  const text = JSON.stringify(body);
  socket.end(
    `HTTP/1.1 ${status} Error\r\nconnection: close\r\n` +
      `content-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
  );
}

function splitAddress(address: string): readonly [string, number] {
  const separator = address.lastIndexOf(":");
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}

function formatAddress(server: Server): string {
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}
