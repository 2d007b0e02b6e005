/**
 * The packages that commands load when they run. A command that needs one of
 * them says so when the build lacks it, and the other commands start faster.
 */
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Result } from "ts-results-es";

export interface DaemonModule {
  /** Resolves after the daemon has stopped; the error says why it could not run. */
  readonly runDaemon: (
    settings: ProcessSettings,
  ) => Promise<Result<void, string>>;
}

/** Keeps the events of one request, customer or conversation. */
export interface TimelineFilter {
  readonly request?: string;
  readonly customer?: string;
  readonly conversation?: string;
}

export interface CatalogueEntry {
  readonly number: number;
  readonly name: string;
  readonly level: string;
  readonly description: string;
}

export interface EventsModule {
  /**
   * Merges event lines (one JSON value a line) of several processes into
   * causally consistent order.
   */
  readonly mergeTimeline: (
    sources: readonly (readonly string[])[],
    filter: TimelineFilter,
  ) => AsyncIterable<string> | Iterable<string>;
  /** The event of a line of `mergeTimeline` as a line for people. */
  readonly formatLine: (line: string) => string;
  readonly listEvents: () => readonly CatalogueEntry[];
}

/** Loads the package `daemon`. */
export async function loadDaemon(): Promise<DaemonModule | undefined> {
  const loaded: Partial<DaemonModule> = await import("@peridotvalve/daemon");
  const { runDaemon } = loaded;
  return runDaemon === undefined ? undefined : { runDaemon };
}

/** Loads the package `events`. */
export async function loadEvents(): Promise<EventsModule | undefined> {
  const events = await import("@peridotvalve/events");
  return {
    mergeTimeline: (sources, filter) => mergeLines(events, sources, filter),
    formatLine: (line) =>
      events.parseRecord(line).map(events.formatEvent).unwrapOr(line),
    listEvents: () =>
      Object.entries(events.CATALOGUE).map(([name, traits]) => ({
        number: traits.number,
        name,
        level: traits.level,
        description: traits.message,
      })),
  };
}

async function* mergeLines(
  events: typeof import("@peridotvalve/events"),
  sources: readonly (readonly string[])[],
  filter: TimelineFilter,
): AsyncGenerator<string> {
  const records = sources.map((lines) =>
    lines.flatMap((line) => events.parseRecord(line).unwrapOr([]))
  );
  for await (const record of events.mergeTimeline(records, filter)) {
    yield JSON.stringify(record);
  }
}
