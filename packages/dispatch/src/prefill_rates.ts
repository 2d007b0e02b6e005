/**
 * How fast the engines of each service prefill prompts, measured from their
 * first tokens, and which machines say that work takes longer at present. A
 * replica that prefills a long prompt sends nothing meanwhile, which must not be
 * taken for a failure.
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
  /** Records how long the replica says that work takes; 1 is as usual. */
  recordSlowness(replica: string, slowness: number | undefined): void;
  /** How long work takes on the replica's machine; 1 when it is not known. */
  slownessOf(replica: string): number;
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

/** A machine that has not said more since then counts as usual again. */
const SLOWNESS_MEMORY: Milliseconds = 3_000;

/** Slower machines are avoided as much as these. */
const MAX_SLOWNESS = 20;

/** Slow replicas that are remembered; twice the planned replicas. */
const MAX_SLOW = 1_500;

export interface PrefillRatesOptions {
  /** The monotonic clock; without it, no slowness is remembered. */
  readonly now?: () => Milliseconds;
}

export function createPrefillRates(
  { now }: PrefillRatesOptions = {},
): PrefillRates {
  const slow = new Map<string, { slowness: number; until: Milliseconds }>();
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
    recordSlowness(replica, slowness = 1) {
      slow.delete(replica);
      if (now === undefined || !(slowness > 1)) return;
      if (slow.size >= MAX_SLOW) slow.clear();
      const until = now() + SLOWNESS_MEMORY;
      slow.set(replica, { slowness: Math.min(MAX_SLOWNESS, slowness), until });
    },
    slownessOf(replica) {
      const known = slow.get(replica);
      if (known === undefined) return 1;
      if (now !== undefined && known.until > now()) return known.slowness;
      slow.delete(replica);
      return 1;
    },
    timeOf: (service, tokens) => tokens / rateOf(service),
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
