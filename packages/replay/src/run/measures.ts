/**
 * The measures of a replay. Every quantile is over all requests of its kind
 * that got a first token; requests that got none lower the goodput.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Sent } from "./send.ts";

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
const BEHIND_MILLISECONDS = 3_000;

export function measure(
  sent: readonly Sent[],
  linkBytes: number | null = null,
): Measures {
  const within = sent.filter(isWithinPatience);
  const chats = sent.filter(({ request }) => request.kind === "chat");
  const short = chats.filter((one) => !isLong(one));
  const long = chats.filter(isLong);
  const behind = short.filter((one) =>
    long.some(({ intended }) =>
      one.intended > intended && one.intended < intended + BEHIND_MILLISECONDS
    )
  );
  const span = Math.max(1, ...sent.map(({ intended }) => intended)) / 1_000;
  const prompt = sum(sent.map(({ promptTokens }) => promptTokens));
  const cached = sum(sent.map(({ cachedTokens }) => cachedTokens));
  return {
    requests: sent.length,
    completed: sent.filter(({ completed }) => completed).length,
    withinPatience: within.length / sent.length,
    goodput: within.length / span,
    refused: sent.filter(({ ran }) => ran === "no").length,
    firstToken: firstTokens(chats),
    shortFirstToken: firstTokens(short),
    longFirstToken: firstTokens(long),
    behindLongFirstToken: firstTokens(behind),
    calls: quantiles(
      sent.filter((one) => one.request.kind !== "chat" && one.completed)
        .map(({ elapsed }) => elapsed),
    ),
    recomputed: prompt === 0 ? null : 1 - cached / prompt,
    linkBytes,
    senderLate: Math.max(0, ...sent.map(({ late }) => late)),
  };
}

export function isWithinPatience(one: Sent): boolean {
  const answered = one.request.kind === "chat" ? one.firstToken : one.elapsed;
  return one.completed && (answered ?? Infinity) <= one.request.patience;
}

function isLong({ request }: Sent): boolean {
  return request.kind === "chat" && request.long;
}

function firstTokens(sent: readonly Sent[]): Quantiles {
  return quantiles(sent.flatMap(({ firstToken }) => firstToken ?? []));
}

const STEPS = 1_000;
const DIGITS = 3;

function quantiles(values: readonly number[]): Quantiles {
  const histogram: Histogram = build({
    numberOfSignificantValueDigits: DIGITS,
  });
  for (const value of values) {
    histogram.recordValue(Math.max(1, Math.round(value * STEPS)));
  }
  const at = (percentile: number) =>
    values.length === 0
      ? null
      : histogram.getValueAtPercentile(percentile) / STEPS;
  return {
    count: values.length,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: values.length === 0 ? null : histogram.maxValue / STEPS,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
