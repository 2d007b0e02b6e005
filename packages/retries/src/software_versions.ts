/**
 * The software versions at which streams of a service may have begun. Replicas
 * of several versions can serve side by side, and what two of them write does not
 * fit together, so a stream goes on only at the version that began it.
 *
 * The store holds one record for each service. Its order of writes makes it
 * complete: a daemon begins streams at a version only after the record is known
 * to name that version. A daemon that reads a record with one version, after it
 * was asked about a stream, therefore knows where that stream began.
 *
 * What a daemon knows of the record holds for a limited time, after which it
 * reads the record again. A version that no replica has is removed in two steps:
 * it is marked first, and removed after all that was known before the mark, and
 * the streams that began on it, have ended. A daemon that uses the version
 * meanwhile takes the mark off.
 *
 * A store that returns from a copy may have lost a version. Its record is written
 * anew with a mark of its own, and is complete once all daemons have had the time
 * to read it.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface RecordedVersion {
  readonly software: string;
  /** Mark of the daemon that wants to remove the version. */
  readonly leaving?: string | undefined;
}

export interface SoftwareRecord {
  readonly versions: readonly RecordedVersion[];
  /** Mark of a record that may still lack versions. */
  readonly renewal?: string | undefined;
}

/**
 * "recorded": streams may begin at the version. "pending": they may soon, once the
 * record names it. "unknown": the record cannot be read now.
 */
export type VersionState = "recorded" | "pending" | "unknown";

export interface SoftwareVersions {
  /** Takes the versions that the replicas of a service have now. */
  observe(service: string, present: ReadonlySet<string>): void;
  /**
   * Takes a record that the store had at a time after `askedAt`, as `now()` gave
   * it. A record of an earlier era of the store says nothing.
   */
  confirm(service: string, record: SoftwareRecord, askedAt: Milliseconds): void;
  /** Takes that the record could not be read or written. */
  recordFailure(service: string): void;
  /** Forgets what is known of the records, as the store may have lost it. */
  forget(): void;
  /** True when the record is to be read again. */
  isDue(service: string): boolean;
  /**
   * Returns the record that is to be written in place of the one that was read;
   * undefined when that one is to stay. A daemon with the duty of removals also
   * removes what is no longer needed.
   */
  revise(
    service: string,
    read: SoftwareRecord | undefined,
    options: { readonly isRemover: boolean; readonly isOutdated: boolean },
  ): SoftwareRecord | undefined;
  stateOf(service: string, software: string): VersionState;
  /** The best state of the present versions; "recorded" when there are none. */
  stateOfAny(service: string): VersionState;
  /** True unless all streams of the service are known to begin at one version. */
  isMixed(service: string): boolean;
  /** The present time, which includes that of a suspension of the VM. */
  now(): Milliseconds;
}

export interface SoftwareVersionsOptions {
  /** Limits what this daemon relies on; its time passes in a suspension. */
  readonly usageClock: Clock;
  /** The monotonic clock, for what this daemon waits for. */
  readonly clock: Clock;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
  /** Gives a mark that no other daemon gives. */
  readonly createMark: () => string;
}

interface ServiceHistory {
  present: ReadonlySet<string>;
  /** Time at which each version was last present, on the monotonic clock. */
  readonly lastPresent: Map<string, Milliseconds>;
  /** Time until which the record is known to name each version. */
  readonly usableUntil: Map<string, Milliseconds>;
  /** Marks in the newest record, and when each was seen first. */
  marks: ReadonlyMap<string, Milliseconds>;
  newest: SoftwareRecord | undefined;
  askedAt: Milliseconds;
  /** Time of the newest failed read or write, as `now()` gave it. */
  failedAt: Milliseconds;
}

/** Time for which a daemon relies on what it has read of a record. */
export const USAGE_TIME: Milliseconds = 20_000;

/** Time after which a daemon reads a record again. */
export const READ_PERIOD: Milliseconds = 10_000;

/** Time after which a failure says nothing; failed reads are soon repeated. */
const FAILURE_AGE: Milliseconds = 3_000;

/** Time between two reads that look whether a renewed record is complete. */
const RENEWAL_READ_PERIOD: Milliseconds = 1_000;

/** Time without a replica of a version after which it is marked. */
const ABSENCE: Milliseconds = 10_000;

/**
 * Time for which a renewed record may lack versions: all daemons learn of the
 * return of the store and of the listed replicas, and write what is missing.
 */
export const RENEWAL_TIME: Milliseconds = 5_000;

export function createSoftwareVersions(
  { clock, usageClock, lifetime, createMark }: SoftwareVersionsOptions,
): SoftwareVersions {
  // A request that was placed within USAGE_TIME has its first event within a
  // lifetime. The monotonic clock stands in a suspension, and a change of the
  // wall clock does not move it, so the wait is never too short.
  const removalDelay = USAGE_TIME + 2 * lifetime;
  const histories = new Map<string, ServiceHistory>();

  function historyOf(service: string): ServiceHistory {
    const known = histories.get(service);
    if (known !== undefined) return known;
    const history: ServiceHistory = {
      ...{ present: new Set(), lastPresent: new Map() },
      ...{ usableUntil: new Map(), marks: new Map(), newest: undefined },
      ...{ askedAt: -Infinity, failedAt: -Infinity },
    };
    histories.set(service, history);
    return history;
  }

  function isMarkDue(
    { marks }: ServiceHistory,
    mark: string | undefined,
    delay: Milliseconds,
  ): boolean {
    const since = mark === undefined ? undefined : marks.get(mark);
    return since !== undefined && clock.monotonic() - since >= delay;
  }

  function isUsable(history: ServiceHistory, software: string): boolean {
    return usageClock.monotonic() < (history.usableUntil.get(software) ?? 0);
  }

  function reviseVersion(
    history: ServiceHistory,
    version: RecordedVersion,
    isRemover: boolean,
  ): readonly RecordedVersion[] {
    const { software, leaving } = version;
    if (history.present.has(software)) return [{ software }];
    if (!isRemover) return [version];
    if (leaving !== undefined) {
      return isMarkDue(history, leaving, removalDelay) ? [] : [version];
    }
    const last = history.lastPresent.get(software) ?? -Infinity;
    const isAbsent = clock.monotonic() - last >= ABSENCE;
    return isAbsent ? [{ software, leaving: createMark() }] : [version];
  }

  function stateOf(service: string, software: string): VersionState {
    const history = historyOf(service);
    if (isUsable(history, software)) return "recorded";
    if (usageClock.monotonic() - history.failedAt >= FAILURE_AGE) {
      return "pending";
    }
    // While the store cannot be reached, what it last said is used on. Others
    // remove a version only when its replicas have long left the list.
    return history.usableUntil.has(software) ? "recorded" : "unknown";
  }

  return {
    observe(service, present) {
      const history = historyOf(service);
      history.present = present;
      for (const software of present) {
        history.lastPresent.set(software, clock.monotonic());
      }
      for (const software of history.usableUntil.keys()) {
        if (!present.has(software)) history.usableUntil.delete(software);
      }
    },
    confirm(service, record, askedAt) {
      const history = historyOf(service);
      if (askedAt < history.askedAt) return;
      const now = clock.monotonic();
      const { versions, renewal } = record;
      history.newest = record;
      history.askedAt = askedAt;
      history.failedAt = -Infinity;
      const marks = [renewal, ...versions.map(({ leaving }) => leaving)]
        .filter((mark) => mark !== undefined);
      history.marks = new Map(
        marks.map((mark) => [mark, history.marks.get(mark) ?? now]),
      );
      const before = new Map(history.usableUntil);
      history.usableUntil.clear();
      for (const { software, leaving } of versions) {
        if (!history.present.has(software)) continue;
        // A mark leaves what was known before it in force.
        const until = leaving === undefined
          ? askedAt + USAGE_TIME
          : before.get(software);
        if (until !== undefined) history.usableUntil.set(software, until);
      }
      const named = new Set(versions.map(({ software }) => software));
      for (const software of named) {
        if (history.lastPresent.has(software)) continue;
        history.lastPresent.set(software, now);
      }
      for (const software of history.lastPresent.keys()) {
        if (named.has(software) || history.present.has(software)) continue;
        history.lastPresent.delete(software);
      }
    },
    recordFailure(service) {
      historyOf(service).failedAt = usageClock.monotonic();
    },
    forget() {
      histories.clear();
    },
    isDue(service) {
      const history = historyOf(service);
      const { present, newest } = history;
      const age = usageClock.monotonic() - history.askedAt;
      return newest === undefined || age >= READ_PERIOD ||
        [...present].some((software) => !isUsable(history, software)) ||
        newest.versions.some(({ software, leaving }) =>
          leaving !== undefined && present.has(software)
        ) ||
        (age >= RENEWAL_READ_PERIOD &&
          isMarkDue(history, newest.renewal, RENEWAL_TIME));
    },
    revise(service, read, { isRemover, isOutdated }) {
      const history = historyOf(service);
      const recorded = read?.versions ?? [];
      const kept = isOutdated
        ? recorded.map(({ software }) => ({ software }))
        : recorded.flatMap((each) => reviseVersion(history, each, isRemover));
      const named = new Set(kept.map(({ software }) => software));
      const added = [...history.present].filter((each) => !named.has(each));
      if (read === undefined && added.length === 0) return undefined;
      const versions = [...kept, ...added.map((software) => ({ software }))];
      const isNew = read === undefined || isOutdated;
      const isRenewed = isMarkDue(history, read?.renewal, RENEWAL_TIME);
      const renewal = isNew
        ? createMark()
        : isRenewed
        ? undefined
        : read?.renewal;
      const revised = {
        versions,
        ...(renewal === undefined ? {} : { renewal }),
      };
      const isSame = JSON.stringify(revised) === JSON.stringify(read);
      return isSame ? undefined : revised;
    },
    stateOf,
    stateOfAny(service) {
      const states = [...historyOf(service).present].map((software) =>
        stateOf(service, software)
      );
      if (states.length === 0 || states.includes("recorded")) return "recorded";
      return states.includes("pending") ? "pending" : "unknown";
    },
    isMixed(service) {
      const { newest, present } = historyOf(service);
      const software = newest === undefined ? undefined : soleVersion(newest);
      return software === undefined ||
        [...present].some((other) => other !== software);
    },
    now: () => usageClock.monotonic(),
  };
}

/**
 * The version at which all streams began that the record covers; undefined when
 * there are several or none, or when the record may lack some.
 */
export function soleVersion(
  { versions, renewal }: SoftwareRecord,
): string | undefined {
  return renewal === undefined && versions.length === 1
    ? versions[0]?.software
    : undefined;
}
