/**
 * The software versions at which streams of a service may have begun. Replicas
 * of several versions can serve side by side, and what two of them write does not
 * fit together, so a stream goes on only at the version that began it.
 *
 * The store holds one record for each service. Its order of writes makes it
 * complete: a daemon begins streams at a version only after it has read or
 * written a record that names the version. A daemon that reads a record with one
 * version, after it was asked about a stream, therefore knows where that stream
 * began.
 *
 * What a daemon has read holds for a limited time. It reads the record again
 * before that; while the store cannot be reached, it goes on a while longer. A
 * version without replicas is removed in two steps: a daemon gives it a mark, a
 * text of its own, and removes it when the mark has stood for so long that all
 * that was read before it, and the streams that began on it, have ended. Each
 * daemon that uses the version takes the mark off.
 *
 * A store that returns from a copy may have lost a version. Its record, of an
 * earlier era, is replaced by one with what each daemon has read before, which
 * bears a mark as well and counts as incomplete for as long.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface RecordedVersion {
  readonly software: string;
  /** Mark under which the version is to be removed; absent while in use. */
  readonly leaving?: string | undefined;
}

/** What a record that may lack versions says of that. */
export interface Renewal {
  readonly mark: string;
  /** Time for which the record is incomplete. */
  readonly time: Milliseconds;
}

export interface SoftwareRecord {
  /** Era of the store in which the record was written. */
  readonly era: number;
  readonly versions: readonly RecordedVersion[];
  readonly renewal?: Renewal | undefined;
}

/**
 * "recorded": streams may begin at the version. "pending": they may soon, once the
 * record names it. "unknown": the record cannot be read now.
 */
export type VersionState = "recorded" | "pending" | "unknown";

export interface SoftwareVersions {
  /** Takes the versions that the replicas of a service have now. */
  observe(service: string, present: ReadonlySet<string>): void;
  /** Takes a record that the store had at a time after `askedAt`; see `now`. */
  confirm(service: string, record: SoftwareRecord, askedAt: Milliseconds): void;
  /** Takes that the record could not be read or written. */
  reportFailure(service: string): void;
  /** Takes that the store may have lost the records. */
  forget(): void;
  /** True when the record is to be read again. */
  isDue(service: string): boolean;
  /** True when it is to be read again because of its age alone. */
  isOutdated(service: string): boolean;
  /**
   * Returns the record that is to be written in the present era in place of the
   * one that was read; undefined when that one is to stay. A daemon with the duty
   * of removals also removes what is no longer needed.
   */
  revise(
    service: string,
    read: SoftwareRecord | undefined,
    options: { readonly isRemover: boolean; readonly era: number },
  ): SoftwareRecord | undefined;
  stateOf(service: string, software: string): VersionState;
  /** True while the record cannot be read or written. */
  isInOutage(service: string): boolean;
  /**
   * The version at which all streams began that may be taken up, by a record that
   * was read now; undefined when there are several, or when it may lack some.
   */
  soleOf(
    service: string,
    record: SoftwareRecord,
    era: number,
  ): string | undefined;
  /** True unless all streams of the service are known to begin at one version. */
  isMixed(service: string): boolean;
  /** The present time, which includes that of a suspension of the VM. */
  now(): Milliseconds;
}

export interface SoftwareVersionsOptions {
  /** Limits what this daemon relies on; its time passes in a suspension. */
  readonly suspendAwareClock: Clock;
  /** The monotonic clock, for what this daemon waits for. */
  readonly clock: Clock;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
  /** Gives a mark that no other daemon gives. */
  readonly createMark: () => string;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Times are as `now()` gives them, unless they say otherwise. */
interface ServiceHistory {
  present: ReadonlySet<string>;
  /**
   * Time at which each recorded version was last present, or first recorded if
   * it never was, on the monotonic clock.
   */
  readonly lastPresent: Map<string, Milliseconds>;
  /** Time until which streams may begin at each version. */
  readonly usableUntil: Map<string, Milliseconds>;
  /** Time at which each version was last known to be recorded without a mark. */
  readonly lastRecorded: Map<string, Milliseconds>;
  /** Marks in the newest record: first seen, on the monotonic clock. */
  marks: ReadonlyMap<string, Milliseconds>;
  newest: SoftwareRecord | undefined;
  askedAt: Milliseconds;
  nextRead: Milliseconds;
  failedAt: Milliseconds;
  /** Failures since the record was last read or written. */
  failures: number;
}

/** Time for which a daemon relies on what it has read of a record. */
export const USAGE_TIME: Milliseconds = 20_000;

/** Time for which it goes on while the store cannot be reached. */
export const OUTAGE_TIME: Milliseconds = 60_000;

/** Longest time after which a daemon reads a record again. */
export const READ_PERIOD: Milliseconds = 10_000;

/** Reads spread over this share of the period. */
const READ_SPREAD = 0.25;

/** Delay after a failure; it doubles with each further one. */
const INITIAL_BACKOFF: Milliseconds = 150;
const MAX_BACKOFF: Milliseconds = 2_000;

/** A failure shows an outage for this long; failed calls are soon repeated. */
const FAILURE_AGE: Milliseconds = 5_000;

/** Time without a replica of a version after which it is marked. */
const ABSENCE: Milliseconds = 10_000;

/**
 * Time for which the first record of a service is incomplete. Within it each
 * daemon that has a link to the store reads the record, and writes it again if
 * versions are missing: an interval between two looks, two calls that take as long
 * as they may, and the delay between them.
 */
export const CREATION_TIME: Milliseconds = 3_000;

/** Versions of a service whose last record is remembered. */
const MAX_REMEMBERED = 100;

/** Time after which a version that is in use no longer counts. */
export function removalDelay(lifetime: Milliseconds): Milliseconds {
  // A request that is placed in time has its first event within a lifetime.
  return USAGE_TIME + OUTAGE_TIME + 2 * lifetime;
}

export function createSoftwareVersions(
  options: SoftwareVersionsOptions,
): SoftwareVersions {
  const { clock, suspendAwareClock, createMark, random = Math.random } =
    options;
  // The monotonic clock stands in a suspension, and a change of the wall clock
  // does not move it, so this wait is never too short.
  const delay = removalDelay(options.lifetime);
  const histories = new Map<string, ServiceHistory>();
  let forgottenAt: Milliseconds = -Infinity;

  const now = () => suspendAwareClock.monotonic();

  function historyOf(service: string): ServiceHistory {
    const known = histories.get(service);
    if (known !== undefined) return known;
    const history: ServiceHistory = {
      ...{ present: new Set(), lastPresent: new Map() },
      ...{ usableUntil: new Map(), lastRecorded: new Map() },
      ...{ marks: new Map(), newest: undefined, askedAt: -Infinity },
      ...{ nextRead: -Infinity, failedAt: -Infinity, failures: 0 },
    };
    histories.set(service, history);
    return history;
  }

  function hasStood(
    { marks }: ServiceHistory,
    mark: string | undefined,
    time: Milliseconds,
  ): boolean {
    const since = mark === undefined ? undefined : marks.get(mark);
    return since !== undefined && clock.monotonic() - since >= time;
  }

  function isRenewed(
    history: ServiceHistory,
    { renewal }: SoftwareRecord,
  ): boolean {
    return renewal !== undefined &&
      hasStood(history, renewal.mark, renewal.time);
  }

  function isUsable(history: ServiceHistory, software: string): boolean {
    return now() < (history.usableUntil.get(software) ?? -Infinity);
  }

  function isInOutage({ failedAt }: ServiceHistory): boolean {
    return now() - failedAt < FAILURE_AGE;
  }

  function isMarked({ newest }: ServiceHistory, software: string): boolean {
    return newest?.versions.some((version) =>
      version.software === software && version.leaving !== undefined
    ) === true;
  }

  /** Versions that have been in use so recently that they count still. */
  function listRemembered({ lastRecorded }: ServiceHistory): readonly string[] {
    const oldest = now() - delay;
    for (const [software, at] of lastRecorded) {
      if (at <= oldest) lastRecorded.delete(software);
    }
    return [...lastRecorded.keys()];
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
      return hasStood(history, leaving, delay) ? [] : [version];
    }
    const last = history.lastPresent.get(software) ?? -Infinity;
    const isAbsent = clock.monotonic() - last >= ABSENCE;
    return isAbsent ? [{ software, leaving: createMark() }] : [version];
  }

  /** Composes the record in place of one that may lack versions. */
  function renew(
    history: ServiceHistory,
    read: SoftwareRecord | undefined,
    era: number,
  ): SoftwareRecord | undefined {
    const remembered = listRemembered(history);
    const recorded = read?.versions.map(({ software }) => software) ?? [];
    const all = new Set([...recorded, ...history.present, ...remembered]);
    if (all.size === 0) return undefined;
    const isFirst = read === undefined && remembered.length === 0;
    const time = isFirst ? CREATION_TIME : delay;
    return {
      era,
      versions: [...all].map((software) => ({ software })),
      renewal: { mark: createMark(), time },
    };
  }

  return {
    now,
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
      // The answer to an earlier question may be from before a return.
      if (askedAt < Math.max(history.askedAt, forgottenAt)) return;
      const seenAt = clock.monotonic();
      const { versions, renewal } = record;
      history.newest = record;
      history.askedAt = askedAt;
      history.nextRead = askedAt + READ_PERIOD * (1 - READ_SPREAD * random());
      history.failedAt = -Infinity;
      history.failures = 0;
      const marks = [renewal?.mark, ...versions.map(({ leaving }) => leaving)]
        .filter((mark) => mark !== undefined);
      history.marks = new Map(
        marks.map((mark) => [mark, history.marks.get(mark) ?? seenAt]),
      );
      const before = new Map(history.usableUntil);
      history.usableUntil.clear();
      for (const { software, leaving } of versions) {
        if (!history.lastPresent.has(software)) {
          history.lastPresent.set(software, seenAt);
        }
        if (leaving === undefined) history.lastRecorded.set(software, askedAt);
        if (!history.present.has(software)) continue;
        // A mark leaves what was read before it in force.
        const until = leaving === undefined
          ? askedAt + USAGE_TIME
          : before.get(software);
        if (until !== undefined) history.usableUntil.set(software, until);
      }
      const named = new Set(versions.map(({ software }) => software));
      for (const software of history.lastPresent.keys()) {
        if (named.has(software) || history.present.has(software)) continue;
        history.lastPresent.delete(software);
      }
      if (history.lastRecorded.size > MAX_REMEMBERED) {
        const [oldest = ""] = history.lastRecorded.keys();
        history.lastRecorded.delete(oldest);
      }
    },
    reportFailure(service) {
      const history = historyOf(service);
      history.failures += 1;
      history.failedAt = now();
      const backoff = INITIAL_BACKOFF * 2 ** (history.failures - 1);
      history.nextRead = history.failedAt +
        Math.min(MAX_BACKOFF, backoff) * (0.5 + random() / 2);
    },
    forget() {
      forgottenAt = now();
      for (const history of histories.values()) {
        history.usableUntil.clear();
        history.marks = new Map();
        history.newest = undefined;
        history.nextRead = -Infinity;
      }
    },
    isDue(service) {
      const history = historyOf(service);
      const { present, newest, failures, nextRead } = history;
      if (now() >= nextRead) return true;
      if (failures > 0 || newest === undefined) return false;
      return [...present].some((software) =>
        !isUsable(history, software) || isMarked(history, software)
      ) || isRenewed(history, newest);
    },
    isOutdated(service) {
      const { failures, nextRead } = historyOf(service);
      return failures === 0 && now() >= nextRead;
    },
    revise(service, read, { isRemover, era }) {
      const history = historyOf(service);
      if (read === undefined || read.era !== era) {
        return renew(history, read, era);
      }
      const kept = read.versions.flatMap((each) =>
        reviseVersion(history, each, isRemover)
      );
      const named = new Set(kept.map(({ software }) => software));
      // One that a returned store has lost may be missing in the first record
      // of the era, if a daemon without knowledge of the earlier ones wrote it.
      const known = new Set([...history.present, ...listRemembered(history)]);
      const added = [...known].filter((each) => !named.has(each));
      const versions = [...kept, ...added.map((software) => ({ software }))];
      const renewal = isRenewed(history, read) ? undefined : read.renewal;
      const revised = {
        ...{ era, versions },
        ...(renewal === undefined ? {} : { renewal }),
      };
      const isSame = JSON.stringify(revised) === JSON.stringify(read);
      return isSame ? undefined : revised;
    },
    stateOf(service, software) {
      const history = historyOf(service);
      if (isUsable(history, software)) return "recorded";
      if (!isInOutage(history)) return "pending";
      const until = history.usableUntil.get(software) ?? -Infinity;
      const goesOn = now() < until + OUTAGE_TIME &&
        !isMarked(history, software);
      return goesOn ? "recorded" : "unknown";
    },
    isInOutage: (service) => isInOutage(historyOf(service)),
    soleOf(service, { versions, renewal, era: writtenIn }, era) {
      const [only, ...others] = versions;
      if (only === undefined || others.length > 0) return undefined;
      if (renewal !== undefined || writtenIn !== era) return undefined;
      const { software } = only;
      const remembered = listRemembered(historyOf(service));
      return remembered.some((other) => other !== software)
        ? undefined
        : software;
    },
    isMixed(service) {
      const { newest, present } = historyOf(service);
      if (newest === undefined || newest.renewal !== undefined) return true;
      const versions = newest.versions.map(({ software }) => software);
      return new Set([...versions, ...present]).size !== 1;
    },
  };
}
