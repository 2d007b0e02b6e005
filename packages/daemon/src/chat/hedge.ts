/**
 * Hedged attempts: two attempts race for the first token. Their output is
 * buffered until one of them has a token; the other one is then cancelled, so
 * that the caller receives parts of one attempt only.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { RelayPart } from "./work.ts";

/** An attempt that can be cancelled independently of the request. */
export interface CancellableAttempt<Outcome> {
  readonly parts: AsyncGenerator<RelayPart, Outcome, void>;
  readonly controller: AbortController;
}

export interface HedgeOptions<Outcome> {
  readonly clock: Clock;
  /** Time without a token after which the second attempt starts. */
  readonly delay: Milliseconds;
  /** Starts the second attempt; resolves with undefined when there is none. */
  readonly startSecond: () => Promise<CancellableAttempt<Outcome> | undefined>;
  /** Returns true when an attempt ended without a failure. */
  readonly isSuccess: (outcome: Outcome) => boolean;
}

interface Contender<Outcome> {
  readonly attempt: CancellableAttempt<Outcome>;
  /** Parts received before the first token. */
  readonly held: RelayPart[];
  pending: Promise<Step<Outcome>> | undefined;
}

interface Step<Outcome> {
  readonly running: Contender<Outcome>;
  readonly result: IteratorResult<RelayPart, Outcome>;
}

/**
 * Yields the parts of the first attempt that produces a token. Returns the
 * outcomes of that attempt and of those that ended before it; an attempt that
 * was cancelled as the slower one has none.
 */
export async function* raceAttempts<Outcome>(
  first: CancellableAttempt<Outcome>,
  options: HedgeOptions<Outcome>,
): AsyncGenerator<RelayPart, readonly Outcome[], void> {
  const hedgeTimer = new AbortController();
  const second = startAfterDelay(options, hedgeTimer.signal);
  const outcomes: Outcome[] = [];
  let racing = [launch(first)];
  let isSecondStarted = false;
  try {
    while (racing.length > 0) {
      const steps = racing.flatMap((entry) => entry.pending ?? []);
      const step = await Promise.race(
        isSecondStarted ? steps : [...steps, second],
      );
      if (!("running" in step)) {
        isSecondStarted = true;
        if (step.attempt !== undefined) racing.push(launch(step.attempt));
        continue;
      }
      const { running, result } = step;
      if (result.done) {
        outcomes.push(result.value);
        racing = racing.filter((entry) => entry !== running);
        if (options.isSuccess(result.value)) return outcomes;
        continue;
      }
      running.held.push(result.value);
      if (result.value.kind === "started") {
        running.pending = readNextPart(running);
        continue;
      }
      for (const entry of racing) if (entry !== running) cancel(entry.attempt);
      racing = [running];
      yield* running.held;
      outcomes.push(yield* running.attempt.parts);
      return outcomes;
    }
    return outcomes;
  } finally {
    hedgeTimer.abort();
    for (const entry of racing) cancel(entry.attempt);
    if (!isSecondStarted) void cancelOnceStarted(second);
  }
}

interface SecondStart<Outcome> {
  readonly attempt: CancellableAttempt<Outcome> | undefined;
}

async function startAfterDelay<Outcome>(
  { clock, delay, startSecond }: HedgeOptions<Outcome>,
  signal: AbortSignal,
): Promise<SecondStart<Outcome>> {
  await clock.sleep(delay, signal);
  return { attempt: signal.aborted ? undefined : await startSecond() };
}

/** Cancels a second attempt that was still starting when the race ended. */
async function cancelOnceStarted<Outcome>(
  second: Promise<SecondStart<Outcome>>,
): Promise<void> {
  const { attempt } = await second;
  if (attempt !== undefined) cancel(attempt);
}

function launch<Outcome>(
  attempt: CancellableAttempt<Outcome>,
): Contender<Outcome> {
  const running: Contender<Outcome> = {
    attempt,
    held: [],
    pending: undefined,
  };
  running.pending = readNextPart(running);
  return running;
}

async function readNextPart<Outcome>(
  running: Contender<Outcome>,
): Promise<Step<Outcome>> {
  return { running, result: await running.attempt.parts.next() };
}

/**
 * Does not wait for the attempt to end: one on a replica that stopped
 * answering may take long.
 */
function cancel<Outcome>(
  { controller, parts }: CancellableAttempt<Outcome>,
): void {
  controller.abort();
  void parts.return(undefined as Outcome);
}
