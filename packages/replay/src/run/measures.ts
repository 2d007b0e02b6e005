/**
 * Computes the summary statistics of a replay. Quantiles of the time to first
 * token cover only requests that received a first token; requests without one
 * lower the goodput instead.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { SentRequest } from "./send.ts";

/** Latency quantiles in milliseconds; null when there are no values. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number | null;
  readonly p95: number | null;
  readonly p99: number | null;
  readonly max: number | null;
}

/** Summary statistics; latencies and delays in milliseconds. */
export interface Measures {
  readonly requests: number;
  readonly completed: number;
  /** Share of requests that were completed within the caller's patience. */
  readonly withinPatience: number;
  /** Requests completed within patience per second of the trace. */
  readonly goodput: number;
  /** Number of refusals with `ran: "no"`. */
  readonly refused: number;
  /** Time to first token of all chat requests. */
  readonly firstToken: Quantiles;
  readonly shortFirstToken: Quantiles;
  readonly longFirstToken: Quantiles;
  /** Time to first token of short requests sent within 3 s after a long one. */
  readonly behindLongFirstToken: Quantiles;
  /** Response times of completed orders and lookups. */
  readonly calls: Quantiles;
  /** Share of prompt tokens that were not cached; null without prompts. */
  readonly recomputed: number | null;
  /** Prompt bytes sent over the region link; null when unknown. */
  readonly linkBytes: number | null;
  /** Largest delay of a request by the replay client itself. */
  readonly senderLate: number;
}

/** A short request sent this soon after a long one may queue behind it. */
const BEHIND_LONG_MILLISECONDS = 3_000;

/** Summarizes the results; `linkBytes` is copied to the summary. */
export function computeMeasures(
  sent: readonly SentRequest[],
  linkBytes: number | null = null,
): Measures {
  const answeredInTime = sent.filter(isWithinPatience);
  const chats = sent.filter(({ request }) => request.kind === "chat");
  const short = chats.filter((one) => !isLong(one));
  const long = chats.filter(isLong);
  const behind = short.filter((one) =>
    long.some(({ intended }) =>
      one.intended > intended &&
      one.intended < intended + BEHIND_LONG_MILLISECONDS
    )
  );
  const durationSeconds = Math.max(1, ...sent.map(({ intended }) => intended)) /
    1_000;
  const prompt = sum(sent.map(({ promptTokens }) => promptTokens));
  const cached = sum(sent.map(({ cachedTokens }) => cachedTokens));
  return {
    requests: sent.length,
    completed: sent.filter(({ completed }) => completed).length,
    withinPatience: answeredInTime.length / sent.length,
    goodput: answeredInTime.length / durationSeconds,
    refused: sent.filter(({ ran }) => ran === "no").length,
    firstToken: computeFirstTokenQuantiles(chats),
    shortFirstToken: computeFirstTokenQuantiles(short),
    longFirstToken: computeFirstTokenQuantiles(long),
    behindLongFirstToken: computeFirstTokenQuantiles(behind),
    calls: computeQuantiles(
      sent.filter((one) => one.request.kind !== "chat" && one.completed)
        .map(({ elapsed }) => elapsed),
    ),
    recomputed: prompt === 0 ? null : 1 - cached / prompt,
    linkBytes,
    senderLate: Math.max(0, ...sent.map(({ sendDelay }) => sendDelay)),
  };
}

/**
 * Tells whether the request completed and its first token, or the response of an
 * order or lookup, arrived within the caller's patience.
 */
export function isWithinPatience(one: SentRequest): boolean {
  const latency = one.request.kind === "chat" ? one.firstToken : one.elapsed;
  return one.completed && (latency ?? Infinity) <= one.request.patience;
}

function isLong({ request }: SentRequest): boolean {
  return request.kind === "chat" && request.long;
}

function computeFirstTokenQuantiles(sent: readonly SentRequest[]): Quantiles {
  return computeQuantiles(sent.flatMap(({ firstToken }) => firstToken ?? []));
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const SIGNIFICANT_DIGITS = 3;

function computeQuantiles(values: readonly number[]): Quantiles {
  const histogram: Histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  for (const value of values) {
    histogram.recordValue(
      Math.max(1, Math.round(value * MICROSECONDS_PER_MILLISECOND)),
    );
  }
  const at = (percentile: number) =>
    values.length === 0 ? null : histogram.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MILLISECOND;
  return {
    count: values.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: values.length === 0
      ? null
      : histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
