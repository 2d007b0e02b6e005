/**
 * The metrics of a daemon.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type Counter,
  createRegistry,
  type HistogramMetric,
  type Registry,
} from "@peridotvalve/metrics";

export interface Meters {
  readonly registry: Registry;
  /** Time to first token in ms, by model. */
  readonly firstToken: HistogramMetric;
  /** Tokens relayed, by model. */
  readonly tokens: Counter;
  /** Prompt tokens found in a replica's prefix cache, by model. */
  readonly cachedTokens: Counter;
  /** Prompt tokens, by model. */
  readonly promptTokens: Counter;
  /** Blocks published to or imported from store VMs. */
  readonly blocks: Counter;
  /** Bytes of prompts and blocks reserved on the region link. */
  readonly linkBytes: Counter;
  /** Outcomes of requests, by route, code and whether the work ran. */
  readonly outcomes: Counter;
  /** Time between tokens in ms, by model. */
  readonly betweenTokens: HistogramMetric;
  /** Time in the admission queue in ms, by model or service. */
  readonly queueWait: HistogramMetric;
  /** Attempts, by model, kind and reason of the preceding failure. */
  readonly attempts: Counter;
  /** Claims of orders, by result. */
  readonly claims: Counter;
}

export function createMeters(clock: Clock): Meters {
  const registry = createRegistry(clock);
  return {
    registry,
    firstToken: registry.histogram("peridotvalve_first_token_milliseconds", {
      help: "Time to first token in milliseconds.",
      labels: ["model"],
    }),
    tokens: registry.counter("peridotvalve_tokens_total", {
      help: "Tokens relayed to callers.",
      labels: ["model"],
    }),
    cachedTokens: registry.counter("peridotvalve_cached_tokens_total", {
      help: "Prompt tokens found in a replica's prefix cache.",
      labels: ["model"],
    }),
    promptTokens: registry.counter("peridotvalve_prompt_tokens_total", {
      help: "Prompt tokens of completions that ended whole.",
      labels: ["model"],
    }),
    blocks: registry.counter("peridotvalve_cache_blocks_total", {
      help: "Blocks published to or imported from store VMs.",
      labels: ["kind"],
    }),
    linkBytes: registry.counter("peridotvalve_link_bytes_total", {
      help: "Bytes of prompts and blocks reserved on the region link.",
      labels: [],
    }),
    outcomes: registry.counter("peridotvalve_requests_total", {
      help: "Requests by route, outcome code and whether the work ran.",
      labels: ["route", "code", "ran"],
    }),
    betweenTokens: registry.histogram(
      "peridotvalve_between_tokens_milliseconds",
      {
        help: "Time between two tokens of a stream in milliseconds.",
        labels: ["model"],
      },
    ),
    queueWait: registry.histogram("peridotvalve_queue_wait_milliseconds", {
      help: "Time in the queue of a model or service in milliseconds.",
      labels: ["route"],
    }),
    attempts: registry.counter("peridotvalve_attempts_total", {
      help: "Attempts by kind and reason of the failure before.",
      labels: ["model", "kind", "reason"],
    }),
    claims: registry.counter("peridotvalve_claims_total", {
      help: "Claims of orders by the answer that they got.",
      labels: ["answer"],
    }),
  };
}
