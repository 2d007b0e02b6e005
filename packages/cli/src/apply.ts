/**
 * Applies a configuration through a daemon: sends it, resolves a lost response,
 * and waits until all daemons have adopted the new version.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Configuration, Milliseconds } from "@peridotvalve/types";
import {
  applyResponseSchema,
  historyResponseSchema,
  lagResponseSchema,
} from "./response_schemas.ts";
import {
  type ExitCode,
  LAGGING,
  REJECTED,
  SUCCESS,
  UNKNOWN_OUTCOME,
} from "./exit_codes.ts";
import {
  type ClientFailure,
  exitCodeOf,
  type OperatorsClient,
} from "./operators_client.ts";

const POLL_INTERVAL: Milliseconds = 250;

// Further changes may be accepted after ours, before the history is read.
const HISTORY_LIMIT = 50;

export interface ApplyRequest {
  readonly content: Configuration;
  /** Id of the change; identifies it in the history if the response is lost. */
  readonly change: string;
  /** Version on which the change is based; rejected if it is not the newest. */
  readonly expect?: number;
  /** Maximum time to wait until all daemons have adopted the version. */
  readonly wait: Milliseconds;
}

export interface ApplyReport {
  readonly exitCode: ExitCode;
  readonly outcome: "accepted" | "rejected" | "unknown" | "unavailable";
  readonly change: string;
  readonly version?: number;
  readonly reason?: string;
  /** Daemons that have not adopted the version; absent if unknown. */
  readonly lagging?: readonly string[];
  readonly messages: readonly string[];
}

/** Applies a configuration and waits until all daemons have adopted it. */
export async function applyConfiguration(
  client: OperatorsClient,
  apply: ApplyRequest,
): Promise<ApplyReport> {
  const { change, content, expect } = apply;
  const response = await client.post("/configuration", {
    body: { content, change, ...(expect === undefined ? {} : { expect }) },
    schema: applyResponseSchema,
  });
  if (response.isErr()) {
    return await handleFailure(client, { apply, failure: response.error });
  }
  const { value } = response;
  if (value.outcome === "accepted") {
    return await waitForAdoption(client, { apply, version: value.version });
  }
  if (value.outcome === "unknown") {
    const message =
      "the daemon does not know whether the platform accepted the change";
    return await resolveOutcome(client, { apply, message });
  }
  const { reason } = value;
  const messages = [`rejected: ${reason}`];
  return { exitCode: REJECTED, outcome: "rejected", change, reason, messages };
}

async function handleFailure(
  client: OperatorsClient,
  { apply, failure }: {
    readonly apply: ApplyRequest;
    readonly failure: ClientFailure;
  },
): Promise<ApplyReport> {
  const { kind, message } = failure;
  if (kind === "lost" || kind === "unexpected") {
    return await resolveOutcome(client, { apply, message });
  }
  const outcome = kind === "unavailable" ? "unavailable" : "rejected";
  const { change } = apply;
  return {
    exitCode: exitCodeOf(failure),
    outcome,
    change,
    messages: [message],
  };
}

/** Searches the history for the change until the wait ends. */
async function resolveOutcome(
  client: OperatorsClient,
  { apply, message }: {
    readonly apply: ApplyRequest;
    readonly message: string;
  },
): Promise<ApplyReport> {
  const path = `/configuration/history?limit=${HISTORY_LIMIT}`;
  for await (const _ of poll(apply.wait)) {
    const history = await client.get(path, historyResponseSchema);
    if (history.isErr()) continue;
    const entry = history.value.entries.find((candidate) =>
      candidate.change === apply.change
    );
    if (entry === undefined) continue;
    return await waitForAdoption(client, { apply, version: entry.version });
  }
  return {
    exitCode: UNKNOWN_OUTCOME,
    outcome: "unknown",
    change: apply.change,
    messages: [
      message,
      `the outcome is unknown; look for change ${apply.change} in ` +
      "`config history` before you apply again",
    ],
  };
}

async function waitForAdoption(
  client: OperatorsClient,
  { apply, version }: {
    readonly apply: ApplyRequest;
    readonly version: number;
  },
): Promise<ApplyReport> {
  const accepted = {
    outcome: "accepted",
    change: apply.change,
    version,
  } as const;
  let lagging: readonly string[] | undefined;
  let failure: ClientFailure | undefined;
  for await (const _ of poll(apply.wait)) {
    const path = `/configuration/lag?version=${version}`;
    const response = await client.get(path, lagResponseSchema);
    if (response.isErr()) {
      failure = response.error;
      continue;
    }
    lagging = response.value.lagging;
    if (lagging.length > 0) continue;
    return { ...accepted, exitCode: SUCCESS, lagging, messages: [] };
  }
  const waited = `after ${apply.wait} ms`;
  const message = lagging === undefined
    ? `adoption still unknown ${waited}: ${failure?.message}`
    : `not adopted ${waited} by: ${lagging.join(", ")}`;
  const known = lagging === undefined ? {} : { lagging };
  return { ...accepted, ...known, exitCode: LAGGING, messages: [message] };
}

/** Yields immediately and then at each interval until the limit has passed. */
async function* poll(limit: Milliseconds): AsyncGenerator<void> {
  const end = performance.now() + limit;
  for (;;) {
    yield;
    if (performance.now() + POLL_INTERVAL > end) return;
    await sleep(POLL_INTERVAL);
  }
}
