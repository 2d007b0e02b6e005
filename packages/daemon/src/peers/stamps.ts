/**
 * Propagates stamps of the hybrid logical clock with requests and calls.
 */
import {
  CLOCK_HEADER,
  type EventLogger,
  formatStamp,
  type HybridClock,
  parseStamp,
} from "@peridotvalve/events";

export interface Stamps {
  /** A new stamp, as text. */
  tick(): string;
  /** A new stamp, as the header of a request or response. */
  headers(): Readonly<Record<string, string>>;
  /** Advances the clock to a received stamp; ignores an invalid one. */
  observe(text: unknown, from: string): void;
}

export function createStamps(
  hybridClock: HybridClock,
  log: EventLogger["log"],
): Stamps {
  const tick = () => formatStamp(hybridClock.tick());
  return {
    tick,
    headers: () => ({ [CLOCK_HEADER]: tick() }),
    observe(text, from) {
      if (typeof text !== "string") return;
      const stamp = parseStamp(text);
      if (stamp.isErr()) return;
      const observed = hybridClock.observe(stamp.value);
      if (observed.isOk()) return;
      log("clock_drift", { peer: from, ahead: observed.error.ahead });
    },
  };
}
