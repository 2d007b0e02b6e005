/**
 * The measures of a replay. Every quantile is over all requests of its kind
 * that got a first token; requests that got none lower the goodput.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { SentRequest } from "./send.ts";

/** Quantiles in milliseconds; null without values. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number | null;
  readonly p95: number | null;
  readonly p99: number | null;
  readonly max: number | null;
}

export interface Measures {
  readonly requests: number;
  readonly completed: number;
  readonly withinPatience: number;
  /** Completed within patience, per second of the trace. */
  readonly goodput: number;
  /** Refusals that say that nothing ran. */
  readonly refused: number;
  readonly firstToken: Quantiles;
  /** First token of short requests, and of those sent behind a long one. */
  readonly shortFirstToken: Quantiles;
  readonly longFirstToken: Quantiles;
  readonly behindLongFirstToken: Quantiles;
  /** Whole answers of orders and look-ups. */
  readonly calls: Quantiles;
  /** Share of prompt tokens that were not in a cache; null without prompts. */
  readonly recomputed: number | null;
  /** Bytes of prompts over the region link; null when not known. */
  readonly linkBytes: number | null;
  /** Largest delay of the sender itself. */
  readonly senderLate: number;
}

/** Time after a long request in which a short one counts as behind it. */
const BEHIND_LONG_MILLISECONDS = 3_000;

export function measure(
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
    senderLate: Math.max(0, ...sent.map(({ sendDelay: late }) => late)),
  };
}

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
