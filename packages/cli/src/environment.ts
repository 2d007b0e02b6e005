/**
 * What commands need from outside, so that tests can run them in-process.
 */
import type { DaemonModule, EventsModule } from "./optional_modules.ts";

export interface Environment {
  /** Writes a line of results. */
  readonly print: (line: string) => void;
  /** Writes a line for people: problems, progress and hints. */
  readonly warn: (line: string) => void;
  /** The package `daemon`, or undefined when this build lacks it. */
  readonly loadDaemon: () => Promise<DaemonModule | undefined>;
  /** The package `events`, or undefined when this build lacks it. */
  readonly loadEvents: () => Promise<EventsModule | undefined>;
}
