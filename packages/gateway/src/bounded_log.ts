/**
 * Keeps the volume of the log bounded and never waits for its reader. Lines of
 * failures have a larger share than lines of successes, and the lines left out
 * are counted.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  CATALOGUE,
  type EventFields,
  EventLogger,
  type EventName,
  type EventSubject,
} from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { Writable } from "node:stream";

/** Bytes that wait for a reader before further lines are left out. */
const MAX_WAITING = 1_024 * 1_024;

/** Lines of one event in a second. */
const INFO_LINES = 120;
const WARNING_LINES = 400;

const PERIOD: Milliseconds = 1_000;

/** Writes lines to a stream unless its reader has stopped reading. */
export function createLineWriter(stream: Writable): {
  readonly write: (line: string) => boolean;
} {
  // A closed reader must not end the process.
  stream.on("error", () => {});
  return {
    write(line) {
      if (stream.writableLength > MAX_WAITING) return false;
      stream.write(`${line}\n`);
      return true;
    },
  };
}

interface Window {
  started: Milliseconds;
  lines: number;
  omitted: number;
}

export function createBoundedLogger(
  inner: EventLogger,
  clock: Clock,
): EventLogger {
  const windows = new Map<EventName, Window>();

  function open(name: EventName): Window {
    const now = clock.monotonic();
    const known = windows.get(name);
    if (known !== undefined && now - known.started < PERIOD) return known;
    if (known !== undefined && known.omitted > 0) {
      inner.log("lines_omitted", { event: name, count: known.omitted });
    }
    const window = { started: now, lines: 0, omitted: 0 };
    windows.set(name, window);
    return window;
  }

  return new (class extends EventLogger {
    override log<Name extends EventName>(
      name: Name,
      fields: EventFields<Name>,
      subject: EventSubject = {},
    ): void {
      const window = open(name);
      const isMinor = CATALOGUE[name].level === "info";
      const limit = isMinor && !name.startsWith("request_declined")
        ? INFO_LINES
        : WARNING_LINES;
      if (window.lines >= limit) {
        window.omitted += 1;
        return;
      }
      window.lines += 1;
      inner.log(name, fields, subject);
    }
  })();
}
