/**
 * Hedging: a second attempt for a request whose first token is late, and the
 * race between the two as a pure decision.
 */
import type { Milliseconds } from "@peridotvalve/types";

/**
 * A race between attempts. Until a winner is set, nothing has reached the
 * caller; afterwards only the winner's events do.
 */
export interface Race {
  /** Attempts that still run. */
  readonly running: readonly string[];
  readonly winner?: string;
}

export type RaceEvent =
  | { readonly kind: "started"; readonly attempt: string }
  /** The attempt's first token arrived, or the start of an answer. */
  | { readonly kind: "first output"; readonly attempt: string }
  | { readonly kind: "failed"; readonly attempt: string };

export interface RaceStep {
  readonly race: Race;
  /** True when output of the event's attempt may go to the caller. */
  readonly deliver: boolean;
  /** Attempts to cancel at their upstreams. */
  readonly cancel: readonly string[];
  /** True when the request has no attempt left that could answer it. */
  readonly lost: boolean;
}

export const EMPTY_RACE: Race = { running: [] };

/** The race after an event and what the daemon has to do. */
export function stepRace(race: Race, event: RaceEvent): RaceStep {
  switch (event.kind) {
    case "started":
      return start(race, event.attempt);
    case "first output":
      return finish(race, event.attempt);
    case "failed":
      return fail(race, event.attempt);
  }
}

function start(race: Race, attempt: string): RaceStep {
  // An attempt that starts after the decision is late and is not needed.
  if (race.winner !== undefined) {
    return { race, deliver: false, cancel: [attempt], lost: false };
  }
  const running = [...without(race.running, attempt), attempt];
  return { race: { running }, deliver: false, cancel: [], lost: false };
}

function finish(race: Race, attempt: string): RaceStep {
  if (race.winner !== undefined) {
    const deliver = race.winner === attempt;
    return { race, deliver, cancel: [], lost: false };
  }
  if (!race.running.includes(attempt)) {
    return { race, deliver: false, cancel: [], lost: false };
  }
  const cancel = without(race.running, attempt);
  const next = { running: [attempt], winner: attempt };
  return { race: next, deliver: true, cancel, lost: false };
}

function fail(race: Race, attempt: string): RaceStep {
  if (!race.running.includes(attempt)) {
    return { race, deliver: false, cancel: [], lost: false };
  }
  const running = without(race.running, attempt);
  const lost = running.length === 0;
  return { race: { ...race, running }, deliver: false, cancel: [], lost };
}

function without(
  attempts: readonly string[],
  attempt: string,
): readonly string[] {
  return attempts.filter((other) => other !== attempt);
}

/** Whether and when to send a hedge. */
export interface HedgeSituation {
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
  situation: HedgeSituation,
): Milliseconds | undefined {
  if (!situation.repeatable || situation.candidatesLeft <= 0) return undefined;
  if (situation.quantile === undefined) return undefined;
  const delay = Math.max(MINIMUM_HEDGE_DELAY, situation.quantile);
  return delay < situation.patience ? delay : undefined;
}
