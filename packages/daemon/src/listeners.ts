/**
 * The three listeners of a daemon. Each exchange on the callers' listener counts
 * as pending work from start to end.
 */
import { Ok, Result } from "ts-results-es";
import { createBroker } from "./broker.ts";
import type { Exchange } from "./http/exchange.ts";
import { createGateway, type Gateway, type Handler } from "./http/gateway.ts";
import { getFailure } from "./http/respond.ts";
import type { Runtime } from "./runtime.ts";

export interface Listeners {
  readonly callers: Gateway;
  readonly peers: Gateway;
  readonly operators: Gateway;
  stopBroker(): Promise<void>;
}

export type Handlers = Readonly<Record<string, Handler>>;

/** Returns an error that names the listener that could not be opened. */
export async function openListeners(
  runtime: Runtime,
  handlers: {
    readonly callers: Handlers;
    readonly peers: Handlers;
    readonly operators: Handlers;
  },
): Promise<Result<Listeners, string>> {
  const { settings, clock, log } = runtime;
  const broker = createBroker(settings.name);
  await broker.start();
  const open = (name: keyof typeof handlers, own: Handlers) =>
    createGateway(broker, {
      name,
      address: settings.listeners[name],
      handlers: own,
      clock,
      intake: runtime.intake,
      onUnhandledError: (error, exchange) =>
        log("handler_failed", { reason: String(error) }, {
          request: exchange.id,
        }),
    });
  const opened = Result.all([
    await open("callers", trackHandlers(handlers.callers, runtime)),
    await open("peers", handlers.peers),
    await open("operators", handlers.operators),
  ]);
  if (opened.isErr()) {
    await broker.stop();
    return opened;
  }
  const [callers, peers, operators] = opened.value;
  return Ok({ callers, peers, operators, stopBroker: () => broker.stop() });
}

/** Tracks each exchange as pending work, so that a shutdown waits for it. */
function trackHandlers(
  handlers: Handlers,
  { drain, meters }: Pick<Runtime, "drain" | "meters">,
): Handlers {
  const tracked = Object.entries(handlers).map(([route, handler]) => [
    route,
    (exchange: Parameters<Handler>[0]) => {
      exchange.response.once("close", () => {
        meters.outcomes.add(1, { route, ...describeOutcome(exchange) });
      });
      return trackExchange(drain, exchange, handler);
    },
  ]);
  return Object.fromEntries(tracked) as Handlers;
}

/**
 * The work ends when the response has closed and the handler has returned: an
 * order continues after its caller has disconnected.
 */
async function trackExchange(
  drain: Runtime["drain"],
  exchange: Exchange,
  handler: Handler,
): Promise<void> {
  const { response } = exchange;
  const end = drain.begin("request");
  const announceClose = () => {
    if (!response.headersSent) response.setHeader("connection", "close");
  };
  drain.started.addEventListener("abort", announceClose);
  if (drain.isDraining()) announceClose();
  try {
    await handler(exchange);
  } finally {
    drain.started.removeEventListener("abort", announceClose);
    if (response.closed) end();
    else response.once("close", end);
  }
}

/**
 * Waits for a listener to close, at most until `wait` resolves, and then closes
 * the remaining connections by force, such as those with a partial request
 * header.
 */
export async function closeWithin(
  listener: Gateway,
  closed: Promise<void>,
  wait: () => Promise<unknown>,
): Promise<void> {
  let isOpen = true;
  const closing = closed.finally(() => {
    isOpen = false;
  });
  await Promise.race([closing, wait()]);
  if (isOpen) listener.cut();
  await closing;
}

/**
 * Metric labels of an outcome. Their values are bounded: failure codes, or the
 * class of a status that was passed through.
 */
function describeOutcome(exchange: Exchange) {
  const failure = getFailure(exchange);
  if (failure !== undefined) return { code: failure.code, ran: failure.ran };
  if (!exchange.response.writableFinished) {
    return { code: "cancelled", ran: "unknown" };
  }
  const { statusCode } = exchange.response;
  const code = statusCode < 400 ? "ok" : `${Math.floor(statusCode / 100)}xx`;
  return { code, ran: "yes" };
}
