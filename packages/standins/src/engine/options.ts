/**
 * Options and faults of the engine stand-in. Durations are in milliseconds.
 */
import { z } from "zod";
import { commonFaults, serverOptions } from "../server.ts";

const flag = z.union([z.boolean(), z.stringbool()]);
const duration = z.coerce.number().nonnegative();
const count = z.coerce.number().int().positive();

/** Shape of blocks, which the answers depend on. */
export const blockShape = {
  tokensPerBlock: count.default(2_000),
  blockBytes: count.default(16 * 1024),
};

export const engineOptions = serverOptions.extend({
  ...blockShape,
  weights: z.string().default("w1"),
  /** Blocks that the memory holds. */
  blocks: count.default(128),
  prefillTokensPerSecond: z.coerce.number().positive().default(8_000),
  /** Tokens of one step, prefill and decode together. */
  stepTokens: count.default(512),
  stepDuration: duration.default(15),
  /** Added to a step for each sequence that decodes. */
  stepDurationPerSequence: duration.default(1),
  maxRunning: count.default(16),
  maxWaiting: count.default(256),
  reportLag: duration.default(500),
  eventLag: duration.default(500),
  checksFencing: flag.default(true),
  /** Address of the weight store that the group shares. */
  weightStore: z.string().optional(),
  /** Time of a weight load without a weight store. */
  loadDuration: duration.default(500),
});

export type EngineStandinOptions = z.input<typeof engineOptions>;
export type EngineOptions = z.output<typeof engineOptions>;

export const engineFaults = commonFaults.extend({
  /** Multiplies the time of steps. */
  slowFactor: z.number().positive().default(1),
  /** Multiplies the time of weight loads without a weight store. */
  loadFactor: z.number().positive().default(1),
  /** Stops the steps while it is set. */
  stallStreams: z.boolean().default(false),
  /** Resets a stream's connection after so many tokens. */
  cutStreamsAfter: z.number().int().nonnegative().nullable().default(null),
  /** Sends a token of another attempt after the first token. */
  crossStreams: z.boolean().default(false),
  streamFault: z.enum([
    "none",
    "repeat",
    "skip",
    "wrong count",
    "no end",
    "no start",
    "garbage",
  ]).default("none"),
  /** Removes so many of the oldest cache events, once. */
  dropCacheEvents: z.number().int().nonnegative().default(0),
  /** Ends the connection to the store VM in the middle of an export. */
  dieDuringExport: z.boolean().default(false),
  /** Reports an export as done whatever the store VM said. */
  reportFalseExport: z.boolean().default(false),
  /** Lets an exported block be evicted and reused during the copy. */
  unpinExports: z.boolean().default(false),
  /** Uses an imported block without checking its length and checksum. */
  skipImportCheck: z.boolean().default(false),
});

export type EngineFaults = z.output<typeof engineFaults>;
