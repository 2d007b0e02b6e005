/**
 * The race of two attempts for the first token. Nothing of either reaches the
 * caller before one of them has a token; the other one is cancelled then.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import type { RelayPart } from "./work.ts";

/** An attempt that can be cancelled on its own. */
export interface Runner<End> {
  readonly parts: AsyncGenerator<RelayPart, End, void>;
  readonly controller: AbortController;
}

export interface HedgeOptions<End> {
  readonly clock: Clock;
  /** Time without a token after which the second attempt starts. */
  readonly delay: Milliseconds;
  /** Starts the second attempt, or says that there is none. */
  readonly start: () => Promise<Runner<End> | undefined>;
  /** Whether an attempt ended without a failure. */
  readonly isWhole: (end: End) => boolean;
}

interface Running<End> {
  readonly runner: Runner<End>;
  /** Parts before the first token. */
  readonly held: RelayPart[];
  pending: Promise<Step<End>> | undefined;
}

interface Step<End> {
  readonly running: Running<End>;
  readonly result: IteratorResult<RelayPart, End>;
}

/** Yields the winner's parts; returns the ends of the attempts that counted. */
export async function* raceAttempts<End>(
  first: Runner<End>,
  options: HedgeOptions<End>,
): AsyncGenerator<RelayPart, readonly End[], void> {
  const timer = new AbortController();
  const second = startLater(options, timer.signal);
  const ends: End[] = [];
  let racing = [launch(first)];
  let isHedged = false;
  try {
    while (racing.length > 0) {
      const steps = racing.flatMap((one) => one.pending ?? []);
      const step = await Promise.race(isHedged ? steps : [...steps, second]);
      if (!("running" in step)) {
        isHedged = true;
        if (step.runner !== undefined) racing.push(launch(step.runner));
        continue;
      }
      const { running, result } = step;
      if (result.done) {
        ends.push(result.value);
        racing = racing.filter((one) => one !== running);
        if (options.isWhole(result.value)) return ends;
        continue;
      }
      running.held.push(result.value);
      if (result.value.kind === "started") {
        running.pending = advance(running);
        continue;
      }
      for (const one of racing) if (one !== running) abandon(one.runner);
      racing = [running];
      yield* running.held;
      ends.push(yield* running.runner.parts);
      return ends;
    }
    return ends;
  } finally {
    timer.abort();
    for (const one of racing) abandon(one.runner);
    if (!isHedged) void abandonLate(second);
  }
}

interface Second<End> {
  readonly runner: Runner<End> | undefined;
}

async function startLater<End>(
  { clock, delay, start }: HedgeOptions<End>,
  signal: AbortSignal,
): Promise<Second<End>> {
  await clock.sleep(delay, signal);
  return { runner: signal.aborted ? undefined : await start() };
}

/** A second attempt that starts after the race has ended is not needed. */
async function abandonLate<End>(second: Promise<Second<End>>): Promise<void> {
  const { runner } = await second;
  if (runner !== undefined) abandon(runner);
}

function launch<End>(runner: Runner<End>): Running<End> {
  const running: Running<End> = { runner, held: [], pending: undefined };
  running.pending = advance(running);
  return running;
}

async function advance<End>(running: Running<End>): Promise<Step<End>> {
  return { running, result: await running.runner.parts.next() };
}

/** Not awaited: an attempt on a silent replica may end late. */
function abandon<End>({ controller, parts }: Runner<End>): void {
  controller.abort();
  void parts.return(undefined as End);
}
