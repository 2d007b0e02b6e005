/**
 * Hedging: the delay after which a request with a late first token gets a
 * second attempt, and the race between the attempts as a pure state machine.
 */
import type { Milliseconds } from "@peridotvalve/types";

/**
 * State of a race between attempts. Nothing is delivered to the caller until a
 * winner is set; afterwards only the winner's output is.
 */
export interface HedgeRace {
  /** Ids of the attempts that are still running. */
  readonly running: readonly string[];
  readonly winner?: string;
}

export type HedgeRaceEvent =
  | { readonly kind: "started"; readonly attempt: string }
  /** The first token or the start of a response arrived. */
  | { readonly kind: "first output"; readonly attempt: string }
  | { readonly kind: "failed"; readonly attempt: string };

export interface HedgeRaceStep {
  readonly race: HedgeRace;
  /** True if output of the event's attempt may be delivered to the caller. */
  readonly deliver: boolean;
  /** Ids of the attempts to cancel at their upstreams. */
  readonly cancel: readonly string[];
  /** True if all attempts have failed. */
  readonly lost: boolean;
}

export const EMPTY_RACE: HedgeRace = { running: [] };

/**
 * Returns the state after an event and the actions that the daemon must take.
 */
export function stepRace(
  race: HedgeRace,
  event: HedgeRaceEvent,
): HedgeRaceStep {
  switch (event.kind) {
    case "started":
      return handleStarted(race, event.attempt);
    case "first output":
      return handleFirstOutput(race, event.attempt);
    case "failed":
      return handleFailed(race, event.attempt);
  }
}

function handleStarted(race: HedgeRace, attempt: string): HedgeRaceStep {
  // An attempt that starts after another has won is not needed.
  if (race.winner !== undefined) {
    return { race, deliver: false, cancel: [attempt], lost: false };
  }
  const running = [...excludeAttempt(race.running, attempt), attempt];
  return { race: { running }, deliver: false, cancel: [], lost: false };
}

function handleFirstOutput(race: HedgeRace, attempt: string): HedgeRaceStep {
  if (race.winner !== undefined) {
    const deliver = race.winner === attempt;
    return { race, deliver, cancel: [], lost: false };
  }
  if (!race.running.includes(attempt)) {
    return { race, deliver: false, cancel: [], lost: false };
  }
  const cancel = excludeAttempt(race.running, attempt);
  const next = { running: [attempt], winner: attempt };
  return { race: next, deliver: true, cancel, lost: false };
}

function handleFailed(race: HedgeRace, attempt: string): HedgeRaceStep {
  if (!race.running.includes(attempt)) {
    return { race, deliver: false, cancel: [], lost: false };
  }
  const running = excludeAttempt(race.running, attempt);
  const lost = running.length === 0;
  return {
    race: { ...race, running },
    deliver: false,
    cancel: [],
    lost,
  };
}

function excludeAttempt(
  attempts: readonly string[],
  attempt: string,
): readonly string[] {
  return attempts.filter((other) => other !== attempt);
}

/** Input of the decision whether and when to send a hedge. */
export interface HedgeContext {
  /**
   * Observed quantile of the model group's time to first token; undefined while
   * too few latencies are known.
   */
  readonly quantile: Milliseconds | undefined;
  /** Time left until the caller's patience ends. */
  readonly patience: Milliseconds;
  /** Whether the request may run twice: generations and idempotent calls. */
  readonly repeatable: boolean;
  readonly candidatesLeft: number;
}

/** With a shorter delay, ordinary latency variation would trigger hedges. */
const MINIMUM_HEDGE_DELAY: Milliseconds = 20;

/** The delay before a hedge; undefined if no hedge may be sent. */
export function hedgeDelayOf(
  context: HedgeContext,
): Milliseconds | undefined {
  if (!context.repeatable || context.candidatesLeft <= 0) return undefined;
  if (context.quantile === undefined) return undefined;
  const delay = Math.max(MINIMUM_HEDGE_DELAY, context.quantile);
  return delay < context.patience ? delay : undefined;
}
