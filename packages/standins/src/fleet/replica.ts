/**
 * Stand-in for a replica on the users' platform: a model engine that streams
 * events, or a plain service. It records the requests and orders it receives.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { listParts } from "./prompt_parts.ts";

export interface ReplicaFaults {
  /** Accepts requests, but never responds. */
  readonly silent: boolean;
  /** Refuses every request with 503 and marks it as not executed. */
  readonly overloaded: boolean;
  /** `Retry-After` of all refusals with 503; empty for none. */
  readonly retryAfter: string;
  /** Number of the event in the middle of which a stream is cut; 0 for none. */
  readonly breakAtEvent: number;
  /** Status code of the responses to plain requests. */
  readonly status: number;
  /** Size of the responses to plain requests in bytes; 0 for a short text. */
  readonly length: number;
  /** Cuts plain responses of a set `length` after their first half. */
  readonly truncateAnswers: boolean;
  /** Executes plain requests, but closes the connection without a response. */
  readonly loseAnswers: boolean;
  /** Responds with a wrong request id. */
  readonly wrongRequestId: boolean;
  /** Executes orders, but closes the connection without a response. */
  readonly loseOrderAnswers: boolean;
  /**
   * Prompt part on which the engine crashes when it would begin the answer;
   * empty for none.
   */
  readonly crashOnPart: string;
  /** Number of events that the engine sends before the crash on a part. */
  readonly crashAfterEvents: number;
  /**
   * Time in milliseconds from the end of an answer on the part to the crash, in
   * place of one within the answer.
   */
  readonly crashAfterAnswer: number | undefined;
  /** Path and body of the plain request on which the replica crashes. */
  readonly crashOnRequest:
    | { readonly path: string; readonly body: string }
    | undefined;
  /**
   * Requests per second that the replica names as its limit in all its answers;
   * 0 for no limit. It does not enforce the limit.
   */
  readonly limit: number;
  /** Says in all answers that the replica leaves; it serves on. */
  readonly leaving: boolean;
}

export interface ReceivedRequest {
  readonly id: string;
  /** Time of arrival in milliseconds, on the clock of `performance.now`. */
  readonly at: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
  /** True if the connection closed before the response was complete. */
  readonly isDropped: () => boolean;
}

/** A request that reached the replica, whether it ran or was refused. */
export interface Arrival {
  readonly id: string;
  /** Time of arrival in milliseconds, on the clock of `performance.now`. */
  readonly at: number;
  readonly isRefused: boolean;
}

export interface ReceivedOrder {
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  readonly expected_rev: number;
}

export interface ReplicaStandin {
  readonly id: string;
  /** Host and port. */
  readonly address: string;
  readonly requests: readonly ReceivedRequest[];
  /** All requests but the calls of the control endpoints. */
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  /** Number of times that the engine crashed. */
  crashes(): number;
  /** False from a crash until the engine accepts connections again. */
  isRunning(): boolean;
  /** The entry that the replica writes to the list of replicas. */
  entry(state?: string): Record<string, unknown>;
  setFaults(faults: Partial<ReplicaFaults>): void;
  /** Ends the engine; it is back after some time. */
  crash(): void;
  close(): Promise<void>;
}

export interface ReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Present for model engines. */
  readonly model?: string;
  /** Version of the software that the entry names. */
  readonly software?: string;
  /** Number of events in a stream. */
  readonly events?: number;
  /** Milliseconds between the events of a stream. */
  readonly pause?: number;
  /** Number of requests that the replica states to run at once. */
  readonly slots?: number;
  /**
   * Responds to a request that names this replica and its weights, in place of
   * the faults and the fixed responses.
   */
  readonly respond?: (call: ReplicaCall) => Promise<void>;
}

/** A request that the replica may run, with its body read. */
export interface ReplicaCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Headers of a response to a request that ran. */
  readonly headers: Readonly<Record<string, string>>;
  /** Answers that the request did not run. */
  readonly refuse: (status: number) => void;
}

const NO_FAULTS: ReplicaFaults = {
  silent: false,
  overloaded: false,
  retryAfter: "",
  breakAtEvent: 0,
  status: 200,
  length: 0,
  truncateAnswers: false,
  loseAnswers: false,
  wrongRequestId: false,
  loseOrderAnswers: false,
  crashOnPart: "",
  crashAfterEvents: 0,
  crashAfterAnswer: undefined,
  crashOnRequest: undefined,
  limit: 0,
  leaving: false,
};

/** Time from a request to the first event, or to the crash. */
const PREFILL_MILLISECONDS = 150;

/** Time from a plain request to the crash. */
const RUN_MILLISECONDS = 100;

/** Time after which a crashed engine accepts connections again. */
const RESTART_MILLISECONDS = 2_500;

const DEFAULT_SLOTS = 8;
const DEFAULT_EVENT_COUNT = 5;
const DEFAULT_EVENT_INTERVAL_MILLISECONDS = 5;

/** Starts the stand-in on a free loopback port. */
export async function startReplicaStandin(
  options: ReplicaOptions,
): Promise<ReplicaStandin> {
  const {
    id,
    service,
    zone,
    model,
    software = "v1",
    events = DEFAULT_EVENT_COUNT,
    pause = DEFAULT_EVENT_INTERVAL_MILLISECONDS,
  } = options;
  const requests: ReceivedRequest[] = [];
  const arrivals: Arrival[] = [];
  const orders: ReceivedOrder[] = [];
  let faults = NO_FAULTS;
  let version = 1;
  let crashes = 0;
  let born: number | undefined;
  let restart: NodeJS.Timeout | undefined;

  /**
   * Ends all connections, and accepts new ones after the restart, as another
   * incarnation with the same id.
   */
  function crash(): void {
    if (restart !== undefined) return;
    crashes += 1;
    const { port } = server.address() as AddressInfo;
    server.close();
    server.closeAllConnections();
    restart = setTimeout(() => {
      restart = undefined;
      born = Date.now();
      server.listen(port, "127.0.0.1");
    }, RESTART_MILLISECONDS);
  }

  function sendJson(response: ServerResponse, status: number, body = {}) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function createHeaders(request: IncomingMessage): Record<string, string> {
    const requestId = String(request.headers["request-id"] ?? "");
    return {
      "Request-Id": faults.wrongRequestId ? "another" : requestId,
      "Response-Seal": `seal-${id}-${requestId}`,
      "Replica-Load": "1,0,8",
      ...(model === undefined ? {} : { "Weight-Versions": String(version) }),
    };
  }

  function refuse(
    { headers }: IncomingMessage,
    { response, status }: {
      readonly response: ServerResponse;
      readonly status: number;
    },
  ): void {
    const requestId = String(headers["request-id"] ?? "");
    const mayName = status === 503 && faults.retryAfter !== "";
    response.writeHead(status, {
      "Request-Id": requestId,
      "Not-Executed": "1",
      "Replica-Id": id,
      ...(mayName && { "Retry-After": faults.retryAfter }),
    }).end();
  }

  async function streamEvents(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { crashOnPart, crashAfterAnswer } = faults;
    const isDeadly = listParts(request).includes(crashOnPart);
    const crashAfterEvents = crashAfterAnswer === undefined
      ? faults.crashAfterEvents
      : Infinity;
    if (crashOnPart !== "") {
      await new Promise((resolve) => setTimeout(resolve, PREFILL_MILLISECONDS));
    }
    if (isDeadly && crashAfterEvents === 0) return crash();
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    response.writeHead(200, {
      ...createHeaders(request),
      "content-type": "text/event-stream",
    });
    for (let number = first; number <= events; number += 1) {
      if (number === faults.breakAtEvent) {
        response.write(`id: ${number}\nda`);
        await new Promise((resolve) => setTimeout(resolve, pause));
        response.destroy();
        return;
      }
      response.write(`id: ${number}\ndata: token-${number}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, pause));
      if (isDeadly && number - first + 1 === crashAfterEvents) return crash();
    }
    response.end();
    if (!isDeadly || crashAfterAnswer === undefined) return;
    await new Promise((resolve) => setTimeout(resolve, crashAfterAnswer));
    crash();
  }

  async function sendInHalves(response: ServerResponse): Promise<void> {
    const half = "a".repeat(faults.length / 2);
    response.write(half);
    await new Promise((resolve) => setTimeout(resolve, pause));
    if (faults.truncateAnswers) response.destroy();
    else response.end(half);
  }

  async function runRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      return refuse(request, { response, status: 421 });
    }
    const weights = request.headers["expect-version"];
    if (weights !== undefined && Number(weights) !== version) {
      return refuse(request, { response, status: 421 });
    }
    if (options.respond !== undefined) {
      return await options.respond({
        request,
        response,
        headers: createHeaders(request),
        refuse: (status) => refuse(request, { response, status }),
      });
    }
    if (faults.overloaded) return refuse(request, { response, status: 503 });
    let isDropped = false;
    response.once("close", () => isDropped = !response.writableFinished);
    requests.push({
      id: String(request.headers["request-id"]),
      at: performance.now(),
      method: request.method ?? "",
      path: request.url ?? "",
      body,
      headers: request.headers,
      isDropped: () => isDropped,
    });
    if (faults.silent) return;
    if (model !== undefined) return await streamEvents(request, response);
    const { crashOnRequest } = faults;
    if (crashOnRequest?.path === request.url && crashOnRequest?.body === body) {
      await new Promise((resolve) => setTimeout(resolve, RUN_MILLISECONDS));
      return crash();
    }
    if (faults.loseAnswers) {
      request.socket.destroy();
      return;
    }
    response.writeHead(faults.status, createHeaders(request));
    if (faults.length > 0) return await sendInHalves(response);
    response.end(`answer of ${id}`);
  }

  function handleOrder(body: string, response: ServerResponse): void {
    const order = JSON.parse(body) as ReceivedOrder;
    if (order.expected_rev !== orders.length) return sendJson(response, 409);
    orders.push(order);
    version = order.version;
    if (faults.loseOrderAnswers) response.destroy();
    else sendJson(response, 202);
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk as Uint8Array);
    const body = Buffer.concat(chunks).toString();
    const path = (request.url ?? "/").split("?")[0];
    if (path === "/peridotvalve/report") {
      const models = [{ name: model, version, adapters: [] }];
      return sendJson(response, 200, {
        models,
        busy: false,
        seq: orders.length,
      });
    }
    if (path === "/peridotvalve/order") return handleOrder(body, response);
    if (path === "/peridotvalve/kv-events") {
      const wait = Number(request.headers["wait-ms"] ?? 0);
      await new Promise((resolve) => setTimeout(resolve, wait));
      const page = { boot_epoch: 1, next: 0, lost: false, events: [] };
      return sendJson(response, 200, page);
    }
    if (faults.limit > 0) {
      response.setHeader("Server-Limit", String(faults.limit));
    }
    if (faults.leaving) response.setHeader("Server-Leaving", "1");
    arrivals.push({
      id: String(request.headers["request-id"]),
      at: performance.now(),
      isRefused: faults.overloaded,
    });
    await runRequest(request, response, body);
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

  return {
    id,
    address,
    requests,
    arrivals,
    orders,
    crashes: () => crashes,
    crash,
    isRunning: () => server.listening,
    entry: (state = "ready") => ({
      service,
      address,
      zone,
      version: software,
      slots: options.slots ?? DEFAULT_SLOTS,
      state,
      cold_remaining_ms: 0,
      models: model === undefined
        ? []
        : [{ name: model, version, adapters: [] }],
      seq: 1,
      ...(born === undefined ? {} : { born }),
    }),
    setFaults(change) {
      faults = { ...faults, ...change };
    },
    async close() {
      clearTimeout(restart);
      if (!server.listening) return;
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
