/**
 * Stand-in for a plain service, which records every call that it executes.
 */
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { z } from "zod";
import {
  commonFaults,
  sendError,
  sendJson,
  serverOptions,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";

export const serviceOptions = serverOptions.extend({
  /** Duration of a call in milliseconds. */
  latency: z.coerce.number().nonnegative().default(0),
  /** File that keeps the calls across restarts; without it, memory only. */
  journal: z.string().optional(),
});

export type ServiceStandinOptions = z.input<typeof serviceOptions>;

const serviceFaults = commonFaults.extend({
  /** Overrides the `latency` option, in milliseconds. */
  latency: z.number().nonnegative().optional(),
  /** Refuses calls with 503 without executing them. */
  refuse: z.boolean().default(false),
  /** Executes calls, but never responds. */
  hangAfterEffect: z.boolean().default(false),
});

/** A call that the service executed. */
export interface RecordedCall {
  readonly number: number;
  readonly method: string;
  readonly path: string;
  readonly customer: string | null;
  readonly idempotencyKey: string | null;
  /** Request id that the daemon sent along with the call. */
  readonly request: string | null;
  readonly body: string;
}

const CUSTOMER_HEADER = "x-peridotvalve-customer";
const REQUEST_HEADER = "x-request-id";

/**
 * Starts the stand-in. Rejects when an option or the journal is invalid or the
 * port is in use.
 */
export async function startServiceStandin(
  input: ServiceStandinOptions = {},
): Promise<Standin> {
  const options = serviceOptions.parse(input);
  const { journal } = options;
  const calls = readJournal(journal);

  async function handleCall(request: StandinRequest): Promise<void> {
    const body = (await request.readBody()).toString("utf8");
    const { response, path, method } = request;
    const faults = server.faults();
    if (faults.refuse) return sendError(response, 503, { code: "busy" });
    const number = calls.length + 1;
    const call = {
      number,
      method,
      path,
      customer: readHeader(request, CUSTOMER_HEADER),
      idempotencyKey: readHeader(request, "idempotency-key"),
      request: readHeader(request, REQUEST_HEADER),
      body,
    };
    calls.push(call);
    if (journal !== undefined) {
      appendFileSync(journal, `${JSON.stringify(call)}\n`);
    }
    await server.wait(faults.latency ?? options.latency);
    if (server.faults().hangAfterEffect) return;
    if (path === "/orders") return sendJson(response, 201, { order: number });
    const item = decodeURIComponent(path.slice("/stock/".length));
    sendJson(response, 200, { item, stock: item.length });
  }

  function listCalls(request: StandinRequest): void {
    sendJson(request.response, 200, { calls });
  }

  const server = await startServer({
    options,
    faultSchema: serviceFaults,
    route(method, path) {
      if (method === "GET" && path === "/control/calls") return listCalls;
      if (method === "POST" && path === "/orders") return handleCall;
      if (method === "GET" && path.startsWith("/stock/")) return handleCall;
      return undefined;
    },
  });
  return server;
}

function readJournal(file: string | undefined): RecordedCall[] {
  if (file === undefined || !existsSync(file)) return [];
  // A process that was killed while writing leaves an incomplete last line.
  return readFileSync(file, "utf8").split("\n").slice(0, -1)
    .map((line) => JSON.parse(line) as RecordedCall);
}

function readHeader(request: StandinRequest, name: string): string | null {
  const value = request.headers[name];
  return typeof value === "string" ? value : null;
}
