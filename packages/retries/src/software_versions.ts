/**
 * The software versions whose streams callers may still take up, by service.
 *
 * Replicas of several versions can serve side by side, and what two of them write
 * does not fit together. While a service has had one version only, every stream
 * of it began there; otherwise the origin of each stream has to be known. A
 * version counts for the lifetime of a stream after it was last seen. What an
 * earlier run or another daemon has recorded counts as seen when it is recalled,
 * as this daemon does not know how long ago the version left.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface SoftwareVersions {
  /** Takes the versions that the replicas of a service have now. */
  observe(service: string, present: ReadonlySet<string>): void;
  /** Takes the versions that were recorded for a service. */
  recall(service: string, recorded: readonly string[]): void;
  /** Versions whose streams may still be taken up, sorted. */
  list(service: string): readonly string[];
  /**
   * The version of every stream of the service that may still be taken up;
   * undefined when there are several, or when what was before the start of this
   * daemon has not been recalled.
   */
  sole(service: string): string | undefined;
}

export interface SoftwareVersionsOptions {
  readonly clock: Clock;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
}

interface ServiceHistory {
  /** Time at which each version was last seen, on the monotonic clock. */
  readonly seen: Map<string, Milliseconds>;
  /** Versions that were seen here and have expired. */
  readonly expired: Set<string>;
  isRecalled: boolean;
}

/** Expired versions of a service that are remembered. */
const MAX_EXPIRED = 100;

export function createSoftwareVersions(
  { clock, lifetime }: SoftwareVersionsOptions,
): SoftwareVersions {
  const histories = new Map<string, ServiceHistory>();
  const startedAt = clock.monotonic();

  function historyOf(service: string): ServiceHistory {
    const known = histories.get(service);
    if (known !== undefined) return known;
    const history = {
      seen: new Map(),
      expired: new Set<string>(),
      isRecalled: false,
    };
    histories.set(service, history);
    return history;
  }

  function expire({ seen, expired }: ServiceHistory): void {
    const oldest = clock.monotonic() - lifetime;
    for (const [version, at] of seen) {
      if (at > oldest) continue;
      seen.delete(version);
      if (expired.size >= MAX_EXPIRED) expired.clear();
      expired.add(version);
    }
  }

  function list(service: string): readonly string[] {
    const history = historyOf(service);
    expire(history);
    return [...history.seen.keys()].sort();
  }

  return {
    observe(service, present) {
      const { seen, expired } = historyOf(service);
      for (const version of present) {
        seen.set(version, clock.monotonic());
        expired.delete(version);
      }
    },
    recall(service, recorded) {
      const history = historyOf(service);
      expire(history);
      history.isRecalled = true;
      for (const version of recorded) {
        if (history.seen.has(version) || history.expired.has(version)) continue;
        history.seen.set(version, clock.monotonic());
      }
    },
    list,
    sole(service) {
      const versions = list(service);
      const isKnown = historyOf(service).isRecalled ||
        clock.monotonic() - startedAt >= lifetime;
      return isKnown && versions.length === 1 ? versions[0] : undefined;
    },
  };
}
