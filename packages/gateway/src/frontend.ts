/**
 * The listener for callers: finds the route and the customer of a request,
 * reads its body, and passes it to the relay. Requests that cannot be served
 * are refused at once.
 */
import type { ReplicaContact } from "@peridotvalve/admission";
import type { Clock } from "@peridotvalve/clock";
import type { HeldBody, ServerConnections } from "@peridotvalve/connections";
import {
  type Customer,
  type DispatchRequest,
  type Route,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  createCaller,
  type Refusal,
  SHUTDOWN_RETRY_AFTER,
  SHUTTING_DOWN,
} from "./caller.ts";
import type { HeaderCodec, RequestMetadata } from "./header_codec.ts";
import { HEAD_CHECK_PERIOD, type Intake } from "./intake.ts";
import { countTurns } from "./loop_lag.ts";
import type { Meters } from "./meters.ts";
import type { createRelay, Ending, RelayResult } from "./relay.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { ActiveState, StateHolder } from "./state_holder.ts";
import { chooseService } from "./stream_routes.ts";

export interface FrontendOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly headerCodec: HeaderCodec;
  readonly holder: StateHolder;
  readonly relay: ReturnType<typeof createRelay>;
  readonly meters: Meters;
  readonly contact: Pick<ReplicaContact, "isLost">;
  readonly requestIdHeader: string;
  readonly intake: Intake;
}

export abstract class Frontend {
  abstract readonly server: Server;
  /** Takes requests that neighbors pass on because they reach no replica. */
  abstract readonly neighborServer: Server;
  abstract inFlight(): number;
  /** Closes each connection after its current response. */
  abstract disableKeepAlive(): void;
  /** Accepts and reads what has been sent so far, for a limited time. */
  abstract readBacklog(): Promise<void>;
  /**
   * Accepts no more connections, closes those without a request, and refuses
   * each further request. May be called again, for connections that have become
   * idle since.
   */
  abstract closeIntake(): void;
}

interface Listener {
  readonly server: Server;
  readonly connections: ServerConnections;
  /** True when requests come from neighbors that pass them on. */
  readonly isForNeighbors: boolean;
}

/** Maximum header size that any desired state may allow. */
const MAX_HEADER_BYTES = 64 * 1_024;

/** Limits used until a desired state sets its own. */
const DEFAULT_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 60_000;

/**
 * Connections are kept open this much longer than the idle timeout promised to
 * callers, so that no request meets a closing connection.
 */
const IDLE_MARGIN: Milliseconds = 2_000;

/** Statuses of requests that are invalid, by error code of the parser. */
const INVALID_REQUEST_STATUSES: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

/**
 * Turns of the event loop without a new connection or request after which
 * everything that was sent before has been read: a connection is accepted in one
 * turn and read in the next.
 */
const QUIET_TURNS = 3;

/** Time for which a daemon that closes its intake reads what has been sent. */
const MAX_BACKLOG_TIME: Milliseconds = 300;

/**
 * Delay after which a caller may retry while this daemon has no desired state.
 */
const STARTING_RETRY_AFTER: Milliseconds = 500;

/** Delay after which bodies in progress should have left room and time. */
const LOAD_RETRY_AFTER: Milliseconds = 1_000;

/**
 * Memory of a request in progress apart from its body: its head, the objects of
 * its attempts, and the buffers of its connections.
 */
const REQUEST_MEMORY: Bytes = 16 * 1_024;

/** Bodies up to this length are read when their requests are refused. */
const MAX_READ_TO_END: Bytes = 64 * 1_024;

export function createFrontend(options: FrontendOptions): Frontend {
  const { clock, logger, headerCodec, holder, relay, meters } = options;
  const { intake } = options;
  let isKeepAliveDisabled = false;
  let isIntakeClosed = false;
  /** Connections and requests so far. */
  let arrivals = 0;
  const callers = createListener({ isForNeighbors: false });
  const neighbors = createListener({ isForNeighbors: true });
  const { server } = callers;

  function createListener(
    { isForNeighbors }: { readonly isForNeighbors: boolean },
  ): Listener {
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT,
      requestTimeout: 0,
      connectionsCheckingInterval: HEAD_CHECK_PERIOD,
      noDelay: true,
    }, (request, response) => {
      arrivals += 1;
      handle(request, response, listener).catch((error: unknown) => {
        logger.log("handler_failed", { reason: String(error) });
        response.destroy();
      });
    });
    server.on("connection", (socket) => {
      arrivals += 1;
      // Each pipelined request adds listeners; their number is limited.
      socket.setMaxListeners(0);
    });
    const name = isForNeighbors ? "neighbors" : "callers";
    const connections = intake.track(server, name);
    const listener = { server, connections, isForNeighbors };
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
      const { code = "" } = error;
      const isBehindRequest = connections.isBusy(socket);
      // Other codes are those of connections that callers have reset.
      if (/^(HPE|ERR_HTTP)_/.test(code)) {
        logger.log("request_malformed", { code, isBehindRequest });
      }
      // The caller would take the refusal for the answer to the request before,
      // which may run.
      if (!socket.writable || isBehindRequest) {
        socket.destroy();
        return;
      }
      const status = INVALID_REQUEST_STATUSES[code] ?? "400 Bad Request";
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
      socket.destroySoon();
    });
    return listener;
  }

  function applyLimits({ state: { limits } }: ActiveState): void {
    server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN;
    server.headersTimeout = limits.headerTimeout + IDLE_MARGIN;
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    { connections, isForNeighbors }: Listener,
  ): Promise<void> {
    const arrivedAt = clock.monotonic();
    const metadata = headerCodec.readRequest(request.headers);
    const { socket } = request;
    // What was read together with requests beyond the limit still comes here.
    if (socket.destroyed) return;
    const isRefused = isIntakeClosed || connections.isEnding(socket);
    connections.begin(socket, response);
    const name = isForNeighbors ? "neighbors" : "callers";
    if (intake.closePipelined(socket, name)) return;
    const caller = createCaller({
      request,
      response,
      requestId: { name: options.requestIdHeader, value: metadata.id },
      // On a new connection the caller may reach another daemon.
      shouldCloseConnection: () =>
        (isKeepAliveDisabled || options.contact.isLost()) &&
        connections.endAfterResponse(socket),
    });
    const readAt = countTurns();
    let leftAt: number | undefined;
    caller.onDisconnect(() => leftAt = countTurns());
    const turnsUntilClose = () => (leftAt ?? countTurns()) - readAt;
    const active = holder.current();
    if (isRefused) {
      const retryAfter = SHUTDOWN_RETRY_AFTER * (1 + Math.random());
      return decline({ status: 503, reason: SHUTTING_DOWN, retryAfter });
    }
    if (active === undefined) {
      const retryAfter = STARTING_RETRY_AFTER * (1 + Math.random());
      return decline({ status: 503, reason: "no desired state", retryAfter });
    }
    applyLimits(active);
    const { maxHeader } = active.state.limits;
    if (maxHeader > 0 && measureHeader(request) > maxHeader) {
      return decline({ status: 431, reason: "header too long" });
    }
    const path = request.url ?? "/";
    const route = active.routes.find(
      request.headers.host ?? "",
      pathOf(path),
    );
    if (route === undefined) {
      return decline({ status: 404, reason: "no route" });
    }
    const customer = findCustomer(active, route, metadata);
    if (customer === "unknown") {
      return decline({ status: 401, reason: "unknown key" }, route);
    }
    if (!intake.memory.tryTake(REQUEST_MEMORY)) {
      return declineForLoad("no memory for the request");
    }
    try {
      await readAndServe(active, route, customer);
    } finally {
      intake.memory.giveBack(REQUEST_MEMORY);
    }

    async function readAndServe(
      active: ActiveState,
      route: Route,
      customer: Customer | undefined,
    ): Promise<void> {
      const maxBody = active.state.limits.maxBody || DEFAULT_MAX_BODY_BYTES;
      const { "content-length": declared = "0" } = request.headers;
      if (Number(declared) > maxBody) {
        return decline({ status: 413, reason: "body too long" }, route);
      }
      const received = await intake.bodies.read(request, maxBody);
      switch (received.kind) {
        case "broken off":
          return recordAbandoned(route, "broken off");
        case "too long":
          return decline({ status: 413, reason: "body too long" }, route);
        case "stalled":
          return decline({ status: 408, reason: "body stalled" }, route);
        case "no room":
          return declineForLoad("no memory for the body");
        case "too many pieces":
          return declineForLoad("too many small pieces");
      }
      try {
        await serve(active, route, customer, received.body);
      } finally {
        received.body.release();
      }
    }

    function declineForLoad(reason: string): void {
      const retryAfter = LOAD_RETRY_AFTER * (1 + Math.random());
      decline({ status: 503, reason, retryAfter }, route);
    }

    async function serve(
      active: ActiveState,
      route: Route,
      customer: Customer | undefined,
      { bytes }: HeldBody,
    ): Promise<void> {
      const service = chooseService(route, metadata.id);
      if (service === undefined) {
        return decline({ status: 503, reason: "no service" }, route);
      }
      const patience = metadata.patience ?? route.timeout;
      const content = {
        method: request.method ?? "GET",
        path,
        body: bytes,
      };
      const unidentified: DispatchRequest = {
        id: metadata.id,
        route,
        service,
        ...(customer === undefined ? {} : { customer }),
        cacheGroup: active.cacheGroup,
        ...(metadata.model === undefined ? {} : { prompt: metadata.model }),
        arrivedAt,
        deadline: arrivedAt + Math.min(route.timeout, patience),
      };
      const fingerprint = fingerprintOf(unidentified, content);
      const dispatchRequest = { ...unidentified, fingerprint };
      const result = await relay(dispatchRequest, {
        ...content,
        headers: request.rawHeaders,
        ...(metadata.lastEvent === undefined
          ? {}
          : { lastEvent: metadata.lastEvent }),
        ...(metadata.resumes === undefined
          ? {}
          : { resumes: metadata.resumes }),
        callerDeadline: arrivedAt + patience,
        isPassedOn: isForNeighbors,
      }, caller);
      recordEnding(result);
    }

    function decline(refusal: Refusal, found?: Route): void {
      const { status } = refusal;
      const unread = status === 408
        ? Promise.resolve()
        : discardUnread(request);
      logger.log("request_declined", {
        route: found?.name ?? "",
        reason: refusal.reason,
        status: refusal.status,
        retryAfter: refusal.retryAfter ?? 0,
        state: active?.state.version ?? 0,
      }, { request: metadata.id });
      const { reason } = refusal;
      meters.recordRequest({
        route: found?.name ?? "",
        outcome: "refused",
        reason,
      });
      caller.refuse(refusal, unread);
      if (found !== undefined) recordBodyTime(found);
    }

    /** Records the only stage of a request that the relay does not get. */
    function recordBodyTime({ name }: Route): void {
      meters.recordStages(name, { body: clock.monotonic() - arrivedAt });
    }

    function recordAbandoned(found: Route, reason: string): void {
      const outcome = "abandoned";
      meters.recordRequest({ route: found.name, outcome, reason });
      recordBodyTime(found);
      logger.log("request_abandoned", {
        route: found.name,
        elapsed: clock.monotonic() - arrivedAt,
        sends: 0,
        turns: turnsUntilClose(),
      }, { request: metadata.id });
    }

    function recordEnding({ ending, sends, stages }: RelayResult): void {
      const elapsed = clock.monotonic() - arrivedAt;
      const subject = { request: metadata.id };
      const common = {
        route: route?.name ?? "",
        state: active?.state.version ?? 0,
      };
      meters.recordStages(common.route, stages);
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
            turns: turnsUntilClose(),
          }, subject);
      }
    }
  }

  /**
   * Discards an unread body. A short one is read to its end, so that the
   * connection can be used again; for others it returns the end of the reading,
   * after which the connection is to be closed.
   */
  function discardUnread(request: IncomingMessage): Promise<void> | undefined {
    if (request.complete) return undefined;
    if (!intake.isLimited || declaredLength(request) <= MAX_READ_TO_END) {
      request.resume();
      return undefined;
    }
    const maxBody = holder.current()?.state.limits.maxBody ?? 0;
    return intake.bodies.discard(request, maxBody || DEFAULT_MAX_BODY_BYTES);
  }

  return new (class extends Frontend {
    override readonly server = server;

    override readonly neighborServer = neighbors.server;

    override inFlight(): number {
      return callers.connections.inFlight() + neighbors.connections.inFlight();
    }

    override disableKeepAlive(): void {
      isKeepAliveDisabled = true;
    }

    override async readBacklog(): Promise<void> {
      const end = clock.monotonic() + MAX_BACKLOG_TIME;
      let quietTurns = 0;
      while (quietTurns < QUIET_TURNS && clock.monotonic() < end) {
        const before = arrivals;
        await new Promise((resolve) => setImmediate(resolve));
        quietTurns = arrivals === before ? quietTurns + 1 : 0;
      }
    }

    override closeIntake(): void {
      for (const listener of [callers, neighbors]) {
        if (!isIntakeClosed) listener.server.close();
        listener.connections.closeIdle();
      }
      isIntakeClosed = true;
    }
  })();
}

/** Length of the body as the head states it; Infinity for chunks. */
function declaredLength({ headers }: IncomingMessage): Bytes {
  const isChunked = headers["transfer-encoding"] !== undefined;
  return isChunked ? Infinity : Number(headers["content-length"] ?? 0);
}

/** Bytes that a header line adds to its name and value: `: ` and CRLF. */
const HEADER_LINE_OVERHEAD: Bytes = 4;

/** Size in bytes of the request line and the headers as they were sent. */
function measureHeader({ url = "", method = "", rawHeaders }: IncomingMessage) {
  // Node decodes headers as Latin-1, so one character is one byte.
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const line = `${method} ${url} HTTP/1.1\r\n`.length;
  return line + texts + rawHeaders.length / 2 * HEADER_LINE_OVERHEAD;
}

/** The status of a response, or the reason why there was none. */
function reasonOf(ending: Ending): string {
  if (ending.kind === "answered") return String(ending.status);
  return "reason" in ending ? ending.reason : "";
}

function pathOf(url: string): string {
  const query = url.indexOf("?");
  return query < 0 ? url : url.slice(0, query);
}

function findCustomer(
  { state: { customers } }: ActiveState,
  route: Route,
  { key }: RequestMetadata,
): Customer | undefined | "unknown" {
  const found = key === undefined ? undefined : customers?.get(key);
  if (found !== undefined) return found;
  return customers === undefined || route.isPublic ? undefined : "unknown";
}
