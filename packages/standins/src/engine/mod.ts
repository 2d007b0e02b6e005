/**
 * Stand-in for a model engine (docs/design.md, section 7.2).
 */
import { randomUUID } from "node:crypto";
import type { Generation } from "@peridotvalve/types";
import { z } from "zod";
import {
  type Handler,
  sendError,
  sendJson,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";
import { createAttemptLog } from "./attempt_log.ts";
import { createBatch } from "./batch.ts";
import { createBlockCache } from "./block_cache.ts";
import { createLoadReports } from "./load_reports.ts";
import {
  engineFaults,
  engineOptions,
  type EngineStandinOptions,
} from "./options.ts";
import { createStream } from "./stream.ts";
import { exportBlock, importBlock } from "./transfer.ts";
import { createWeights } from "./weights.ts";

export { expectedAnswer } from "./content.ts";
export type { EngineStandinOptions } from "./options.ts";

const generationSchema = z.object({
  attempt: z.string(),
  request: z.string(),
  customer: z.string(),
  weights: z.string(),
  prompt: z.string(),
  maxTokens: z.number().int().nonnegative(),
  priority: z.number(),
  resume: z.object({ offset: z.number().int(), text: z.string() }).optional(),
});
const cancelSchema = z.object({ attempt: z.string(), customer: z.string() });
const weightsSchema = z.object({ version: z.string(), fence: z.number() });
const exportSchema = z.object({
  customer: z.string(),
  weights: z.string(),
  block: z.string(),
  store: z.string(),
});
const importSchema = exportSchema.extend({
  generation: z.string(),
  checksum: z.string(),
});

const drainSchema = z.object({
  leaving: z.boolean(),
  /** Whether a leaving engine refuses generations. */
  refuses: z.boolean().default(true),
  /** Whether its load reports say that it is leaving. */
  reports: z.boolean().default(true),
});

/** A generation request as it arrived, whether it was accepted or not. */
interface ReceivedGeneration {
  readonly customer: string;
  /** The last 80 characters. */
  readonly prompt: string;
  /** Arrival in milliseconds since the epoch. */
  readonly at: number;
}

const MAX_RECEIVED_GENERATIONS = 10_000;

/**
 * Starts the stand-in. Rejects when an option is invalid or the port is in use.
 */
export async function startEngineStandin(
  input: EngineStandinOptions = {},
): Promise<Standin> {
  const options = engineOptions.parse(input);
  const incarnation = randomUUID();
  const cache = createBlockCache(options);
  const received: ReceivedGeneration[] = [];
  const attempts = createAttemptLog();
  let drainState = drainSchema.parse({ leaving: false });

  async function generate(request: StandinRequest): Promise<void> {
    const generation = await request.readJson(generationSchema) as Generation;
    const { response } = request;
    const { customer, prompt } = generation;
    received.push({ customer, prompt: prompt.slice(-80), at: Date.now() });
    if (received.length > MAX_RECEIVED_GENERATIONS) received.shift();
    attempts.add(generation);
    if (drainState.leaving && drainState.refuses) {
      return sendError(response, 503, { code: "leaving" });
    }
    const version = weights.version();
    if (generation.weights !== version) {
      const error = { code: "weights_mismatch", weights: version };
      return sendError(response, 409, error);
    }
    const stream = createStream(generation, {
      response,
      weights: weights.version,
      faults: server.faults,
    });
    const cancelSequence = batch.add(generation, stream);
    if (cancelSequence === undefined) {
      return sendError(response, 503, { code: "busy" });
    }
    response.on("close", cancelSequence);
  }

  async function cancel(request: StandinRequest): Promise<void> {
    const { attempt, customer } = await request.readJson(cancelSchema);
    const cancelled = batch.cancel(attempt, customer);
    sendJson(request.response, 200, { cancelled });
  }

  function readCacheEvents(request: StandinRequest): void {
    const { dropCacheEvents } = server.faults();
    if (dropCacheEvents > droppedEvents) {
      cache.dropEvents(dropCacheEvents - droppedEvents);
      droppedEvents = dropCacheEvents;
    }
    const after = Number(request.query.get("after") ?? 0);
    const age = options.eventLag / options.speed;
    const events = cache.listEvents(after, age)
      .map(({ sequence, kind, block }) => ({ sequence, kind, block }));
    const first = cache.firstEvent();
    sendJson(request.response, 200, { incarnation, first, events });
  }

  async function handleExport(request: StandinRequest): Promise<void> {
    const { store, ...name } = await request.readJson(exportSchema);
    const outcome = await exportBlock(context, { name, store });
    sendJson(request.response, outcome.status, outcome.body);
  }

  async function handleImport(request: StandinRequest): Promise<void> {
    const { store, generation, checksum, ...name } = await request.readJson(
      importSchema,
    );
    const order = { name, store, generation, checksum };
    const outcome = await importBlock(context, order);
    sendJson(request.response, outcome.status, outcome.body);
  }

  async function handleWeights(request: StandinRequest): Promise<void> {
    const { version, fence } = await request.readJson(weightsSchema);
    if (weights.order(version, fence)) {
      sendJson(request.response, 202, { version });
    } else {
      sendError(request.response, 409, { code: "stale_fence" });
    }
  }

  async function drain(request: StandinRequest): Promise<void> {
    drainState = await request.readJson(drainSchema);
    sendJson(request.response, 200, drainState);
  }

  const handlers: Readonly<Record<string, Handler>> = {
    "POST /generate": generate,
    "POST /cancel": cancel,
    "GET /load": (request) => sendJson(request.response, 200, reports.read()),
    "GET /cache-events": readCacheEvents,
    "POST /blocks/export": handleExport,
    "POST /blocks/import": handleImport,
    "POST /weights": handleWeights,
    "GET /health": (request) =>
      sendJson(request.response, 200, { incarnation }),
    "POST /control/drain": drain,
    "GET /control/received": (request) =>
      sendJson(request.response, 200, { received }),
    "GET /control/loads": (request) =>
      sendJson(request.response, 200, { loads: weights.history() }),
    "GET /control/attempts": ({ response }) =>
      sendJson(response, 200, { attempts: attempts.list() }),
  };

  let droppedEvents = 0;
  const server = await startServer({
    options,
    faultSchema: engineFaults,
    route: (method, path) => handlers[`${method} ${path}`],
  });
  const { wait, faults } = server;
  const weights = createWeights(options, {
    wait,
    loadFactor: () => faults().loadFactor,
    onChange: cache.clear,
  });
  const batch = createBatch({ options, faults, cache, wait });
  const context = { cache, options, faults, weights: weights.version };
  const reports = createLoadReports(options.reportLag / options.speed, () => ({
    incarnation,
    weights: weights.version(),
    state: drainState.leaving && drainState.reports
      ? "leaving"
      : weights.loading()
      ? "loading"
      : "ready",
    running: batch.running(),
    waiting: batch.waiting(),
    queuedTokens: batch.queuedTokens(),
    usedBlocks: cache.used(),
    freeBlocks: options.blocks - cache.used(),
    at: Date.now(),
  }));
  return {
    address: server.address,
    close() {
      reports.stop();
      return server.close();
    },
  };
}
