/**
 * How fast the engines of each service prefill prompts, measured from their
 * first tokens. A replica that prefills a long prompt sends nothing meanwhile,
 * which must not be taken for a failure.
 */
import type { Milliseconds, Tokens } from "@peridotvalve/types";

export interface FirstTokenSample {
  /** Prompt tokens that the replica had to prefill, also those ahead. */
  readonly tokens: Tokens;
  readonly elapsed: Milliseconds;
}

export interface PrefillRates {
  recordFirstToken(service: string, sample: FirstTokenSample): void;
  /** Prompt tokens that a replica of the service prefills per millisecond. */
  rateOf(service: string): number;
  /** Time that a replica of the service takes to prefill the tokens. */
  timeOf(service: string, tokens: Tokens): Milliseconds;
}

/** Rate assumed before the first samples; low, so that no replica is hurried. */
const INITIAL_RATE = 30;

/** Bounds of the rates that are believed. */
const MIN_RATE = 3;
const MAX_RATE = 2_000;

/** A shorter prompt says more of the network than of the prefill. */
const MIN_SAMPLE_TOKENS: Tokens = 2_000;

/** Samples of a service that are kept; the rate is their median. */
const MAX_SAMPLES = 31;

/** Samples from which the median is used. */
const MIN_SAMPLES = 5;

export function createPrefillRates(): PrefillRates {
  const samples = new Map<string, readonly number[]>();
  const medians = new Map<string, number>();

  function rateOf(service: string): number {
    return medians.get(service) ?? INITIAL_RATE;
  }

  return {
    recordFirstToken(service, { tokens, elapsed }) {
      if (tokens < MIN_SAMPLE_TOKENS || elapsed <= 0) return;
      const rate = Math.min(MAX_RATE, Math.max(MIN_RATE, tokens / elapsed));
      const kept = [...samples.get(service) ?? [], rate].slice(-MAX_SAMPLES);
      samples.set(service, kept);
      if (kept.length >= MIN_SAMPLES) medians.set(service, medianOf(kept));
    },
    rateOf,
    timeOf: (service, tokens) => tokens / rateOf(service),
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
