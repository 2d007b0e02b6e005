/**
 * A typed event logger based on `roarr`. Writes each event as one line of JSON.
 */
import "./enable_roarr.ts";
import { ROARR, Roarr } from "roarr";
import { CATALOGUE, type EventFields, type EventName } from "./catalogue.ts";
import { formatStamp, type HybridClock } from "./hybrid_clock.ts";
import type { EventRecord, EventSubject, ProcessIdentity } from "./record.ts";
import type { EventRing } from "./ring.ts";

const ROARR_LEVELS = { debug: 20, info: 30, warn: 40, error: 50 } as const;

export interface EventLoggerOptions {
  readonly process: ProcessIdentity;
  readonly clock: HybridClock;
  /** Lowest level that is written. The ring buffer gets events of all levels. */
  readonly level?: keyof typeof ROARR_LEVELS;
  readonly ring?: EventRing;
  /** Writes a line, given without its newline. Default: standard output. */
  readonly write?: (line: string) => void;
}

export abstract class EventLogger {
  abstract log<Name extends EventName>(
    name: Name,
    fields: EventFields<Name>,
    subject?: EventSubject,
  ): void;
}

function writeToStandardOutput(line: string): void {
  process.stdout.write(`${line}\n`);
}

// `roarr` has one write function for the whole process and calls it
// synchronously, so each logger sets this variable just before it logs.
let activeWrite: (line: string) => void = writeToStandardOutput;

export function createEventLogger(options: EventLoggerOptions): EventLogger {
  const { clock, ring, write = writeToStandardOutput } = options;
  const minLevel = ROARR_LEVELS[options.level ?? "info"];
  ROARR.write = (line) => activeWrite(line);

  return new (class extends EventLogger {
    override log<Name extends EventName>(
      name: Name,
      fields: EventFields<Name>,
      subject: EventSubject = {},
    ): void {
      const traits = CATALOGUE[name];
      const record: EventRecord = {
        number: traits.number,
        name,
        level: traits.level,
        clock: formatStamp(clock.tick()),
        process: options.process,
        ...subject,
        fields: { ...fields } as EventRecord["fields"],
      };
      ring?.append(record);
      const logLevel = ROARR_LEVELS[traits.level];
      if (logLevel < minLevel) return;
      activeWrite = write;
      Roarr(
        { ...record, process: { ...record.process }, logLevel },
        traits.message,
      );
    }
  })();
}
