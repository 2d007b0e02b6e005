/**
 * Limits the rate of log lines without ever waiting for their reader. Failures
 * have a higher limit than successes, and omitted lines are counted.
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

/** Maximum number of buffered bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_024 * 1_024;

/** Maximum number of lines of one event per second. */
const MAX_INFO_LINES = 120;
const MAX_WARNING_LINES = 400;

const WINDOW: Milliseconds = 1_000;

/**
 * Writes lines to a stream. `write` returns false when it dropped the line
 * because the reader has stopped reading.
 */
export function createLineWriter(stream: Writable): {
  readonly write: (line: string) => boolean;
} {
  // A reader that closes the stream must not end the process.
  stream.on("error", () => {});
  return {
    write(line) {
      if (stream.writableLength > MAX_BUFFERED_BYTES) return false;
      stream.write(`${line}\n`);
      return true;
    },
  };
}

interface RateWindow {
  started: Milliseconds;
  lines: number;
  omitted: number;
}

export function createBoundedLogger(
  inner: EventLogger,
  clock: Clock,
): EventLogger {
  const windows = new Map<EventName, RateWindow>();

  function currentWindow(name: EventName): RateWindow {
    const now = clock.monotonic();
    const known = windows.get(name);
    if (known !== undefined && now - known.started < WINDOW) return known;
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
      const window = currentWindow(name);
      const isInfo = CATALOGUE[name].level === "info";
      const limit = isInfo && !name.startsWith("request_declined")
        ? MAX_INFO_LINES
        : MAX_WARNING_LINES;
      if (window.lines >= limit) {
        window.omitted += 1;
        return;
      }
      window.lines += 1;
      inner.log(name, fields, subject);
    }
  })();
}
