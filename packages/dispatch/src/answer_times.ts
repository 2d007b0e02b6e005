/**
 * How long answers take, measured for each service: per output token after the
 * first token of a model, and per call of a plain service.
 */
import type { Clock } from "@peridotvalve/clock";
import { createLatencyWindow, type LatencyWindow } from "@peridotvalve/retries";
import type { Milliseconds } from "@peridotvalve/types";
import type { DispatchRequest } from "./dispatch_request.ts";

export interface AnswerTimes {
  /**
   * Records a complete answer: the time after its first token, or that of the
   * whole call of a plain service.
   */
  record(request: DispatchRequest, elapsed: Milliseconds): void;
  /** Time that the same part of the request's answer is expected to take. */
  estimate(request: DispatchRequest): Milliseconds;
}

/** Few answers take longer than their estimate. */
const QUANTILE = 0.95;

/** Assumed per output token while few answers are known. */
const INITIAL_TOKEN_TIME: Milliseconds = 60;

/** Assumed for a plain call while few are known, in latency targets. */
const INITIAL_CALL_TARGETS = 4;

export function createAnswerTimes(clock: Clock): AnswerTimes {
  const windows = new Map<string, LatencyWindow>();

  function windowOf(service: string): LatencyWindow {
    const known = windows.get(service);
    if (known !== undefined) return known;
    const window = createLatencyWindow({ clock });
    windows.set(service, window);
    return window;
  }

  return {
    record(request, elapsed) {
      windowOf(request.service).record(elapsed / unitsOf(request));
    },
    estimate(request) {
      const { service, prompt, route } = request;
      const initial = prompt === undefined
        ? route.latencyTarget * INITIAL_CALL_TARGETS
        : INITIAL_TOKEN_TIME;
      const unit = windowOf(service).quantile(QUANTILE) ?? initial;
      return unit * unitsOf(request);
    },
  };
}

/** Output tokens after the first one, or one call. */
function unitsOf({ prompt }: DispatchRequest): number {
  return prompt === undefined ? 1 : Math.max(1, prompt.outputTokens - 1);
}
