/**
 * The listener for callers: finds the route and the customer of a request,
 * reads its body, and hands it to the relay. Refuses at once what cannot be
 * served.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  chooseTarget,
  type Customer,
  type Route,
  type Work,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createCaller, readBody, type Refusal } from "./caller.ts";
import type { Dialect, RequestTerms } from "./dialect.ts";
import type { Meters } from "./meters.ts";
import type { createRelay, Ending } from "./relay.ts";
import type { InForce, StateHolder } from "./state_holder.ts";

export interface FrontOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly dialect: Dialect;
  readonly holder: StateHolder;
  readonly relay: ReturnType<typeof createRelay>;
  readonly meters: Meters;
  readonly requestIdHeader: string;
}

export abstract class Front {
  abstract readonly server: Server;
  abstract inFlight(): number;
  /** Answers close their connections from now on. */
  abstract closeBehindAnswers(): void;
}

/** Greatest header that any desired state may allow. */
const MAX_HEADER_BYTES = 64 * 1_024;

/** Until a desired state names its own limits. */
const MAX_BODY_BYTES = 8 * 1_024 * 1_024;
const IDLE_TIMEOUT: Milliseconds = 60_000;

/**
 * A caller may use a connection up to its idle timeout; the connection is kept
 * longer, so that no request meets its close.
 */
const IDLE_MARGIN: Milliseconds = 2_000;

/** When a caller comes back to a daemon that knows no desired state yet. */
const STARTING_RETRY_AFTER: Milliseconds = 500;

export function createFront(options: FrontOptions): Front {
  const { clock, logger, dialect, holder, relay, meters } = options;
  let inFlight = 0;
  let isClosing = false;
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: IDLE_TIMEOUT,
    requestTimeout: 0,
    noDelay: true,
  }, (request, response) => {
    handle(request, response).catch((error: unknown) => {
      logger.log("handler_failed", { reason: String(error) });
      response.destroy();
    });
  });

  function applyLimits({ state: { limits } }: InForce): void {
    server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN;
    server.headersTimeout = limits.headerTimeout + IDLE_MARGIN;
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrived = clock.monotonic();
    const terms = dialect.readRequest(request.headers);
    const caller = createCaller({
      request,
      response,
      requestId: { name: options.requestIdHeader, value: terms.id },
      isLast: () => isClosing,
    });
    inFlight += 1;
    // Runs once, however the exchange ends.
    response.once("close", () => inFlight -= 1);
    const inForce = holder.current();
    if (inForce === undefined) {
      const retryAfter = STARTING_RETRY_AFTER * (1 + Math.random());
      return decline({ status: 503, reason: "no desired state", retryAfter });
    }
    applyLimits(inForce);
    const { maxHeader } = inForce.state.limits;
    if (maxHeader > 0 && measureHeader(request) > maxHeader) {
      return decline({ status: 431, reason: "header too long" });
    }
    const path = request.url ?? "/";
    const route = inForce.routes.find(
      request.headers.host ?? "",
      pathOf(path),
    );
    if (route === undefined) {
      return decline({ status: 404, reason: "no route" });
    }
    const customer = findCustomer(inForce, route, terms);
    if (customer === "unknown") {
      return decline({ status: 401, reason: "unknown key" }, route);
    }
    const body = await readBody(
      request,
      inForce.state.limits.maxBody || MAX_BODY_BYTES,
    );
    if (body.kind === "broken off") return finish(route, "broken off");
    if (body.kind === "too long") {
      return decline({ status: 413, reason: "body too long" }, route);
    }
    const service = chooseTarget(route, Math.random());
    if (service === undefined) {
      return decline({ status: 503, reason: "no service" }, route);
    }
    const patience = terms.patience ?? route.timeout;
    const work: Work = {
      id: terms.id,
      route,
      service,
      ...(customer === undefined ? {} : { customer }),
      ...(terms.model === undefined ? {} : { terms: terms.model }),
      arrived,
      due: arrived + Math.min(route.timeout, patience),
    };
    const result = await relay(work, {
      method: request.method ?? "GET",
      path,
      headers: request.rawHeaders,
      body: body.bytes,
      ...(terms.lastEvent === undefined ? {} : { lastEvent: terms.lastEvent }),
      patienceEnd: arrived + patience,
    }, caller);
    record(result.ending, result.sends);

    function decline(refusal: Refusal, found?: Route): void {
      // The rest of a body that nobody reads would hold the connection.
      if (!request.complete) request.resume();
      logger.log("request_declined", {
        route: found?.name ?? "",
        reason: refusal.reason,
        status: refusal.status,
        retryAfter: refusal.retryAfter ?? 0,
        state: inForce?.state.version ?? 0,
      }, { request: terms.id });
      const { reason } = refusal;
      meters.recordRequest({
        route: found?.name ?? "",
        outcome: "refused",
        reason,
      });
      caller.refuse(refusal);
    }

    function finish(found: Route, reason: string): void {
      const outcome = "abandoned";
      meters.recordRequest({ route: found.name, outcome, reason });
      logger.log("request_abandoned", {
        route: found.name,
        elapsed: clock.monotonic() - arrived,
        sends: 0,
      }, { request: terms.id });
    }

    function record(
      ending: Ending,
      sends: number,
    ): void {
      const elapsed = clock.monotonic() - arrived;
      const subject = { request: terms.id };
      const common = {
        route: route?.name ?? "",
        state: inForce?.state.version ?? 0,
      };
      meters.recordRequest({
        ...ending,
        route: common.route,
        outcome: ending.kind,
        reason: reasonOf(ending),
      });
      switch (ending.kind) {
        case "answered":
          return logger.log("request_ended", {
            ...common,
            outcome: "answered",
            status: ending.status,
            elapsed,
            firstEvent: ending.firstEvent,
            sends,
          }, subject);
        case "refused":
          return logger.log("request_declined", {
            ...common,
            reason: ending.reason,
            status: ending.status,
            retryAfter: ending.retryAfter,
          }, subject);
        case "lost":
          return logger.log("request_lost", {
            ...common,
            reason: ending.reason,
            status: ending.status,
            elapsed,
            sends,
          }, subject);
        case "abandoned":
          return logger.log("request_abandoned", {
            route: common.route,
            elapsed,
            sends,
          }, subject);
      }
    }
  }

  return new (class extends Front {
    override readonly server = server;

    override inFlight(): number {
      return inFlight;
    }

    override closeBehindAnswers(): void {
      isClosing = true;
    }
  })();
}

/** Bytes that a name and its value take beside themselves: `: ` and CRLF. */
const HEADER_LINE: Bytes = 4;

/** The size of the request line and the headers as they were sent. */
function measureHeader({ url = "", method = "", rawHeaders }: IncomingMessage) {
  // Node reads headers as Latin-1, so that a character is a byte.
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const line = `${method} ${url} HTTP/1.1\r\n`.length;
  return line + texts + rawHeaders.length / 2 * HEADER_LINE;
}

/** The status of an answer, or why there was none. */
function reasonOf(ending: Ending): string {
  if (ending.kind === "answered") return String(ending.status);
  return "reason" in ending ? ending.reason : "";
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

function findCustomer(
  { state: { customers } }: InForce,
  route: Route,
  { key }: RequestTerms,
): Customer | undefined | "unknown" {
  const found = key === undefined ? undefined : customers?.get(key);
  if (found !== undefined) return found;
  return customers === undefined || route.isPublic ? undefined : "unknown";
}
