/**
 * The HTTP server of the platform stand-in, with fault injection.
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { buffer } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import type { ListedVm } from "@peridotvalve/tables";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  changeFaults,
  createRateLimit,
  FAULT_CHANGE,
  type FaultChange,
  NO_FAULTS,
} from "./faults.ts";
import {
  type Call,
  type CallResponse,
  createPlatformState,
  parseJson,
  refuse,
} from "./state.ts";

export interface PlatformStandinOptions {
  /** 0 picks a free port. */
  readonly port?: number;
  /** Seed of the random generator that injects faults. */
  readonly seed?: number;
  readonly faults?: FaultChange;
  readonly vms?: readonly ListedVm[];
}

export interface PlatformStandin {
  /** Host and port, such as "127.0.0.1:7400". */
  readonly address: string;
  readonly close: () => Promise<void>;
}

const HOST = "127.0.0.1";

/**
 * Starts the stand-in on loopback. Rejects when it can't listen on the port.
 */
export async function startPlatformStandin(
  { port = 0, seed = 1, faults: initial = {}, vms }: PlatformStandinOptions =
    {},
): Promise<PlatformStandin> {
  const random = xoroshiro128plus(seed);
  const state = createPlatformState(Date.now);
  const readLimit = createRateLimit(Date.now);
  const writeLimit = createRateLimit(Date.now);
  const openSockets = new Set<Socket>();
  const frozenSockets = new WeakSet<Socket>();
  let faults = changeFaults(NO_FAULTS, initial);
  if (vms !== undefined) state.setVms(vms);

  function control(call: Call): CallResponse {
    if (call.path[1] === "vms") return state.answer(call, 0);
    if (call.path[1] !== "faults") return refuse(404, "no such path");
    if (call.method === "GET") return { status: 200, body: faults };
    const parsed = FAULT_CHANGE.safeParse(parseJson(call.body));
    if (!parsed.success) return refuse(400, parsed.error.message);
    const { freezeConnections, ...change } = parsed.data;
    faults = changeFaults(faults, change);
    if (freezeConnections) {
      for (const socket of openSockets) frozenSockets.add(socket);
    }
    return { status: 200, body: faults };
  }

  function shouldLoseAnswer(): boolean {
    if (faults.loseNextAnswers > 0) {
      const loseNextAnswers = faults.loseNextAnswers - 1;
      faults = { ...faults, loseNextAnswers };
      return true;
    }
    return faults.loseAnswerRate > 0 &&
      uniformFloat64(random) < faults.loseAnswerRate;
  }

  async function serve(call: Call): Promise<CallResponse | "lost"> {
    if (faults.outage) return refuse(503, "outage");
    const isWrite = call.method !== "GET";
    const allowed = isWrite
      ? writeLimit.take(faults.writesPerSecond)
      : readLimit.take(faults.readsPerSecond);
    if (!allowed) return refuse(429, "rate limit");
    if (faults.delay > 0) await sleep(faults.delay);
    const effectiveCall = faults.ignoreChecks ? withoutChecks(call) : call;
    const answer = state.answer(effectiveCall, faults.vmListLag);
    return isWrite && shouldLoseAnswer() ? "lost" : answer;
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const socket = request.socket;
    const call = await readCall(request);
    if (call.path[0] === "control") return send(response, control(call));
    // Requests on a frozen connection have no effect and get no response.
    if (frozenSockets.has(socket)) return;
    const answer = await serve(call);
    if (frozenSockets.has(socket)) return;
    if (answer === "lost") socket.destroy();
    else send(response, answer);
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => request.socket.destroy());
  });
  server.on("connection", (socket) => {
    openSockets.add(socket);
    socket.on("close", () => openSockets.delete(socket));
  });
  server.listen(port, HOST);
  await once(server, "listening");
  const { port: boundPort } = server.address() as AddressInfo;

  return {
    address: `${HOST}:${boundPort}`,
    close: async () => {
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

function withoutChecks(call: Call): Call {
  if (call.method !== "POST" || call.path[0] !== "tables") return call;
  const transaction = parseJson(call.body) as Readonly<Record<string, unknown>>;
  const body = Buffer.from(JSON.stringify({ ...transaction, checks: [] }));
  return { ...call, body };
}

async function readCall(request: IncomingMessage): Promise<Call> {
  const url = new URL(request.url ?? "/", `http://${HOST}`);
  return {
    method: request.method ?? "GET",
    path: url.pathname.split("/").slice(1).map(decodeURIComponent),
    query: Object.fromEntries(url.searchParams),
    body: await buffer(request),
  };
}

function send(response: ServerResponse, { status, body }: CallResponse): void {
  const isBuffer = Buffer.isBuffer(body);
  const content = isBuffer ? body : Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    "content-type": isBuffer ? "application/octet-stream" : "application/json",
    "content-length": content.length,
  });
  response.end(content);
}
