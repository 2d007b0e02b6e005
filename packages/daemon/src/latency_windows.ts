/**
 * Windows of recent latencies, one for each route.
 */
import type { Clock } from "@peridotvalve/clock";
import { createLatencyWindow, type LatencyWindow } from "@peridotvalve/retries";

export interface LatencyWindows {
  of(route: string): LatencyWindow;
}

export function createLatencyWindows(clock: Clock): LatencyWindows {
  const windows = new Map<string, LatencyWindow>();
  return {
    of(route) {
      const existing = windows.get(route);
      if (existing !== undefined) return existing;
      const window = createLatencyWindow({ clock });
      windows.set(route, window);
      return window;
    },
  };
}
