/**
 * One window of recent latencies for each route.
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
      const known = windows.get(route);
      if (known !== undefined) return known;
      const window = createLatencyWindow({ clock });
      windows.set(route, window);
      return window;
    },
  };
}
