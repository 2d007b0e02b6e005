/**
 * Hedging: a second attempt for a request whose first token is late, and the
 * race between the two as a pure decision.
 */
import type { Milliseconds } from "@peridotvalve/types";

/**
 * A race between attempts. Until a winner is set, nothing has reached the
 * caller; afterwards only the winner's events do.
 */
export interface HedgeRace {
  /** Attempts that still run. */
  readonly running: readonly string[];
  readonly winner?: string;
}

export type HedgeRaceEvent =
  | { readonly kind: "started"; readonly attempt: string }
  /** The attempt's first token arrived, or the start of an answer. */
  | { readonly kind: "first output"; readonly attempt: string }
  | { readonly kind: "failed"; readonly attempt: string };

export interface HedgeRaceStep {
  readonly race: HedgeRace;
  /** True when output of the event's attempt may go to the caller. */
  readonly deliver: boolean;
  /** Attempts to cancel at their upstreams. */
  readonly cancel: readonly string[];
  /** True when the request has no attempt left that could answer it. */
  readonly lost: boolean;
}

export const EMPTY_RACE: HedgeRace = { running: [] };

/** The race after an event and what the daemon has to do. */
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
  // An attempt that starts after the decision is late and is not needed.
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

/** Whether and when to send a hedge. */
export interface HedgeContext {
  /** Observed quantile of the group's time to first token. */
  readonly quantile: Milliseconds | undefined;
  /** Rest of the caller's patience. */
  readonly patience: Milliseconds;
  /** True for generations and idempotent calls. */
  readonly repeatable: boolean;
  readonly candidatesLeft: number;
}

/** A hedge any earlier competes with ordinary variation. */
const MINIMUM_HEDGE_DELAY: Milliseconds = 20;

/** The delay before a hedge, or undefined when none may be sent. */
export function hedgeDelayOf(
  context: HedgeContext,
): Milliseconds | undefined {
  if (!context.repeatable || context.candidatesLeft <= 0) return undefined;
  if (context.quantile === undefined) return undefined;
  const delay = Math.max(MINIMUM_HEDGE_DELAY, context.quantile);
  return delay < context.patience ? delay : undefined;
}
