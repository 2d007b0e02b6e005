/**
 * Metrics of prompts that are placed by time: how many were not expected to
 * meet their target, and how much prefill stood before them.
 */
import type { Forecast } from "@peridotvalve/dispatch";
import type { Registry } from "@peridotvalve/metrics";

export function createForecastMeters(
  registry: Pick<Registry, "counter" | "histogram">,
) {
  const placed = registry.counter("peridotvalve_prompts_placed_total", {
    help: "Prompts placed by time, and whether in time for their target.",
    labels: ["route", "expected"],
  });
  const ahead = registry.histogram("peridotvalve_prefill_ahead_ms", {
    help: "Prefill queued before a prompt at its replica, as estimated.",
    labels: ["route"],
  });
  return {
    record(route: string, forecast: Forecast): void {
      const expected = forecast.isInTarget ? "in target" : "late";
      placed.add(1, { route, expected });
      ahead.record(forecast.ahead, { route });
    },
  };
}
