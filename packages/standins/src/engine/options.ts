/**
 * Options and faults of the engine stand-in. Durations and lags are in
 * milliseconds.
 */
import { z } from "zod";
import { commonFaults, serverOptions } from "../server.ts";

const flag = z.union([z.boolean(), z.stringbool()]);
const duration = z.coerce.number().nonnegative();
const count = z.coerce.number().int().positive();

/** Size of blocks. Answers depend on it. */
export const blockShape = {
  tokensPerBlock: count.default(2_000),
  blockBytes: count.default(16 * 1024),
};

export const engineOptions = serverOptions.extend({
  ...blockShape,
  weights: z.string().default("w1"),
  /** Capacity of the KV cache in blocks. */
  blocks: count.default(128),
  prefillTokensPerSecond: z.coerce.number().positive().default(8_000),
  /** Token budget of one step, prefill and decode together. */
  stepTokens: count.default(512),
  stepDuration: duration.default(15),
  /** Added to the duration of a step for each sequence that decodes. */
  stepDurationPerSequence: duration.default(1),
  maxRunning: count.default(16),
  maxWaiting: count.default(256),
  /** Age of the load reports that are returned. */
  reportLag: duration.default(500),
  /** Age at which cache events become readable. */
  eventLag: duration.default(500),
  /** Whether weight orders with an older fencing token are refused. */
  checksFencing: flag.default(true),
  /** Host and port of the weight store that the engines of a group share. */
  weightStore: z.string().optional(),
  /** Duration of a weight load when there is no weight store. */
  loadDuration: duration.default(500),
});

export type EngineStandinOptions = z.input<typeof engineOptions>;
export type EngineOptions = z.output<typeof engineOptions>;

export const engineFaults = commonFaults.extend({
  /** Multiplies the duration of steps. */
  slowFactor: z.number().positive().default(1),
  /** Multiplies the duration of weight loads without a weight store. */
  loadFactor: z.number().positive().default(1),
  /** Suspends batching, so that no stream makes progress. */
  stallStreams: z.boolean().default(false),
  /** Number of tokens after which a stream's connection is reset. */
  cutStreamsAfter: z.number().int().nonnegative().nullable().default(null),
  /** Sends a token of another attempt between the first and second token. */
  crossStreams: z.boolean().default(false),
  /** Protocol violation in the event stream. */
  streamFault: z.enum([
    "none",
    "repeat",
    "skip",
    "wrong count",
    "no end",
    "no start",
    "garbage",
  ]).default("none"),
  /**
   * Discards this many of the oldest cache events. Raising the value later
   * discards only the difference.
   */
  dropCacheEvents: z.number().int().nonnegative().default(0),
  /** Closes the connection to the store VM halfway through an export. */
  dieDuringExport: z.boolean().default(false),
  /** Reports exports as successful even if the store VM failed or refused. */
  reportFalseExport: z.boolean().default(false),
  /** Doesn't pin exported blocks, so that they can be evicted while copied. */
  unpinExports: z.boolean().default(false),
  /**
   * Accepts imported blocks without checking length, checksum and generation.
   */
  skipImportCheck: z.boolean().default(false),
});

export type EngineFaults = z.output<typeof engineFaults>;
