/**
 * The three listeners of a daemon. Each exchange with a caller counts as
 * pending work from its start to its end.
 */
import { Ok, Result } from "ts-results-es";
import { createBroker } from "./broker.ts";
import type { Exchange } from "./http/exchange.ts";
import { createGateway, type Gateway, type Handler } from "./http/gateway.ts";
import { failureOf } from "./http/respond.ts";
import type { Runtime } from "./runtime.ts";

export interface Listeners {
  readonly callers: Gateway;
  readonly peers: Gateway;
  readonly operators: Gateway;
  stopBroker(): Promise<void>;
}

export type Handlers = Readonly<Record<string, Handler>>;

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
      onDefect: (error, exchange) =>
        log("handler_failed", { reason: String(error) }, {
          request: exchange.id,
        }),
    });
  const opened = Result.all([
    await open("callers", countAll(handlers.callers, runtime)),
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

/** Counts each exchange as pending work, so that a shutdown waits for it. */
function countAll(
  handlers: Handlers,
  { drain, meters }: Pick<Runtime, "drain" | "meters">,
): Handlers {
  const counted = Object.entries(handlers).map(([route, handler]) => [
    route,
    (exchange: Parameters<Handler>[0]) => {
      exchange.response.once("close", () => {
        meters.outcomes.add(1, { route, ...describeOutcome(exchange) });
      });
      return countExchange(drain, exchange, handler);
    },
  ]);
  return Object.fromEntries(counted) as Handlers;
}

/**
 * The work ends when the response has ended and the handler has returned: an
 * order goes on when its caller has gone.
 */
async function countExchange(
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
 * Ends the connections of a listener that are left after the work on it, such
 * as those with half a request header.
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

/** Bounded values: codes of failures, or the class of a passed-on status. */
function describeOutcome(exchange: Exchange) {
  const failure = failureOf(exchange);
  if (failure !== undefined) return { code: failure.code, ran: failure.ran };
  if (!exchange.response.writableFinished) {
    return { code: "cancelled", ran: "unknown" };
  }
  const { statusCode } = exchange.response;
  const code = statusCode < 400 ? "ok" : `${Math.floor(statusCode / 100)}xx`;
  return { code, ran: "yes" };
}
