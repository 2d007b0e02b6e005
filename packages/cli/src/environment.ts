/**
 * External dependencies of the commands, which tests replace to run commands
 * in-process.
 */
import type { DaemonModule, EventsModule } from "./optional_modules.ts";

export interface Environment {
  /** Writes a line of output. */
  readonly print: (line: string) => void;
  /** Writes a diagnostic line: problems, progress and hints. */
  readonly warn: (line: string) => void;
  /** Loads the package `daemon`; undefined if the build does not include it. */
  readonly loadDaemon: () => Promise<DaemonModule | undefined>;
  /** Loads the package `events`; undefined if the build does not include it. */
  readonly loadEvents: () => Promise<EventsModule | undefined>;
}
