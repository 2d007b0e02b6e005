/**
 * Packages that commands load on demand, which makes the other commands start
 * faster. A command reports a package that the build does not include.
 */
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Result } from "ts-results-es";

export interface DaemonModule {
  /** Resolves after the daemon has stopped; the error says why it did not run. */
  readonly runDaemon: (
    settings: ProcessSettings,
  ) => Promise<Result<void, string>>;
}

/** Selects the events of one request, customer or conversation. */
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
   * Merges the event lines of several processes, one JSON value per line, in
   * causally consistent order.
   */
  readonly mergeTimeline: (
    sources: readonly (readonly string[])[],
    filter: TimelineFilter,
  ) => AsyncIterable<string> | Iterable<string>;
  /** Formats a line of `mergeTimeline` as a human-readable line. */
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
