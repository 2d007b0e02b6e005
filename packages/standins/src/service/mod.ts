/**
 * A plain service that records every call that it runs.
 */
import { z } from "zod";
import {
  commonFaults,
  sendJson,
  sendRefusal,
  serverOptions,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";

export const serviceOptions = serverOptions.extend({
  /** Milliseconds that a call takes. */
  latency: z.coerce.number().nonnegative().default(0),
});

export type ServiceStandinOptions = z.input<typeof serviceOptions>;

const serviceFaults = commonFaults.extend({
  /** Replaces the latency of the options. */
  latency: z.number().nonnegative().optional(),
  /** Refuses calls with 503 before any effect. */
  refuse: z.boolean().default(false),
  /** Runs calls and never answers. */
  hangAfterEffect: z.boolean().default(false),
});

/** One call that the service ran. */
export interface RecordedCall {
  readonly number: number;
  readonly method: string;
  readonly path: string;
  readonly customer: string | null;
  readonly idempotencyKey: string | null;
  readonly body: string;
}

const CUSTOMER_HEADER = "x-peridotvalve-customer";

export async function startServiceStandin(
  input: ServiceStandinOptions = {},
): Promise<Standin> {
  const options = serviceOptions.parse(input);
  const calls: RecordedCall[] = [];

  async function run(request: StandinRequest): Promise<void> {
    const body = (await request.readBody()).toString("utf8");
    const { response, path, method } = request;
    const faults = server.faults();
    if (faults.refuse) return sendRefusal(response, 503, { code: "busy" });
    const number = calls.length + 1;
    calls.push({
      number,
      method,
      path,
      customer: headerOf(request, CUSTOMER_HEADER),
      idempotencyKey: headerOf(request, "idempotency-key"),
      body,
    });
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
      if (method === "POST" && path === "/orders") return run;
      if (method === "GET" && path.startsWith("/stock/")) return run;
      return undefined;
    },
  });
  return server;
}

function headerOf(request: StandinRequest, name: string): string | null {
  const value = request.headers[name];
  return typeof value === "string" ? value : null;
}
