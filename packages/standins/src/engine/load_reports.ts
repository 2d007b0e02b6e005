/**
 * Load reports that are delayed by the engine's report lag.
 */
import type { LoadReport } from "@peridotvalve/types";

export interface LoadReports {
  /** Returns the newest report that is at least as old as the lag. */
  read(): LoadReport;
  stop(): void;
}

const SAMPLES_PER_LAG = 10;

/**
 * Samples the load periodically. `lag` is in milliseconds; 0 means no delay.
 */
export function createLoadReports(
  lag: number,
  sample: () => LoadReport,
): LoadReports {
  let reports: LoadReport[] = [sample()];

  function record(): void {
    reports.push(sample());
    const cutoff = Date.now() - lag;
    // The first report that is kept is the newest that is as old as the lag.
    while ((reports[1]?.at ?? Infinity) <= cutoff) reports = reports.slice(1);
  }

  const interval = Math.max(5, lag / SAMPLES_PER_LAG);
  const timer = setInterval(record, interval);
  timer.unref();
  return {
    read() {
      if (lag === 0) return sample();
      record();
      return reports[0] ?? sample();
    },
    stop: () => clearInterval(timer),
  };
}
