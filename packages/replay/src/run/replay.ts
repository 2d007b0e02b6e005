/**
 * Replays a trace open-loop: each request is sent at its own time, whether or
 * not earlier requests have been answered.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { TraceRequest } from "../trace/trace.ts";
import type { Outcomes } from "./outcomes.ts";
import { sendRequest, type SentRequest } from "./send.ts";

export interface ReplayOptions {
  /** Daemons (`host:port`), which receive the requests in round-robin order. */
  readonly daemons: readonly string[];
  /** API keys by customer. */
  readonly keys: Readonly<Record<string, string>>;
  /** Faults to inject into stand-ins during the replay; none by default. */
  readonly faults?: Outcomes["faults"];
}

/** Prevents a daemon that does not answer from exhausting the local ports. */
const CONNECTIONS_PER_DAEMON = 1_024;

/**
 * Sends all requests and waits for their results, which are in the order of the
 * trace. Failed requests are part of the results; a stand-in that cannot be
 * reached to inject a fault is an error.
 */
export async function replayTrace(
  requests: readonly TraceRequest[],
  { daemons, keys, faults = [] }: ReplayOptions,
): Promise<readonly SentRequest[]> {
  const dispatcher = new Agent({ connections: CONNECTIONS_PER_DAEMON });
  const start = performance.now();
  const faultChanges = faults.map(async (fault) => {
    await sleep(Math.max(0, start + fault.at - performance.now()));
    await fetch(`http://${fault.standin}/control/faults`, {
      method: "POST",
      body: JSON.stringify(fault.faults),
    });
  });
  const sent: Promise<SentRequest>[] = [];
  for (const [index, request] of requests.entries()) {
    const due = start + request.at;
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    sent.push(sendRequest(request, {
      daemon: daemons[index % daemons.length] ?? "",
      key: keys[request.customer] ?? "",
      ...{ dispatcher, due, start },
    }));
  }
  const results = await Promise.all(sent);
  await Promise.all(faultChanges);
  await dispatcher.destroy();
  return results;
}

/**
 * Counts the executions of each order at the service stand-ins, by idempotency
 * key. Rejects when a stand-in cannot be reached.
 */
export async function countOrders(
  addresses: readonly string[],
): Promise<ReadonlyMap<string, number>> {
  const runs = new Map<string, number>();
  for (const address of addresses) {
    const response = await fetch(`http://${address}/control/calls`);
    const { calls } = await response.json() as {
      readonly calls: readonly { readonly idempotencyKey: string | null }[];
    };
    for (const { idempotencyKey: key } of calls) {
      if (key !== null) runs.set(key, (runs.get(key) ?? 0) + 1);
    }
  }
  return runs;
}
