/**
 * Keeps the records of the software versions at which streams of a service begin:
 * one row for each service, which daemons change under the condition that it has
 * not changed since they read it. `software_versions.ts` decides what it holds.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import {
  createSoftwareVersions,
  type SoftwareRecord,
  type VersionState,
} from "@peridotvalve/retries";
import type { Platform, StoreEra } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import {
  createSoftwareReads,
  type ReadRecord,
  VERSION_TABLE,
} from "./software_reads.ts";

export interface SoftwareRecords {
  /** Whether streams of the service may begin at the version. */
  stateOf(service: string, software: string): VersionState;
  /** True when streams may begin at no usable version, now or soon. */
  isBarred(service: string): boolean;
  /**
   * Resolves when streams may begin at a usable version, when it is known that
   * they may not, or after `SETTLING_LIMIT`.
   */
  settled(service: string): Promise<void>;
  /** True unless all streams of the service are known to begin at one version. */
  isMixed(service: string): boolean;
  /**
   * Reads, after the call, at which version all streams of the service began
   * that may be taken up. "several": their versions differ or are not known.
   * "unread": the store does not answer.
   */
  readSole(service: string): Promise<SoleSoftware | "several" | "unread">;
  /** Reads and writes all records anew, as the store may have lost them. */
  renew(): void;
  run(signal: AbortSignal): Promise<void>;
}

export interface SoleSoftware {
  readonly software: string;
  /** Time since the store was asked. */
  readonly age: Milliseconds;
}

export interface SoftwareRecordsOptions {
  readonly clock: Clock;
  /** Its time passes while the VM is suspended. */
  readonly suspendAwareClock: Clock;
  readonly logger: EventLogger;
  readonly store: Pick<Platform, "readRow" | "readRows" | "transact">;
  readonly storeEra: Pick<StoreEra, "current">;
  readonly name: string;
  /** Longest time from the begin of a stream until it is taken up. */
  readonly lifetime: Milliseconds;
  /** Services whose streams can be taken up. */
  readonly services: () => readonly string[];
  /** Software versions of the listed replicas of a service. */
  readonly versionsOf: (service: string) => ReadonlySet<string>;
  /** Those of the replicas that take requests; by default all listed ones. */
  readonly usableVersionsOf?: (service: string) => ReadonlySet<string>;
  /** True when this daemon removes versions that are not in use. */
  readonly isRemover: () => boolean;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Reads of one row: the one under way, and the one that follows it. */
interface Reads {
  readonly present: Promise<ReadRecord | undefined>;
  next?: Promise<ReadRecord | undefined>;
}

/** A record that is to be written in place of the one that was read. */
interface Revision {
  readonly service: string;
  readonly read: ReadRecord;
  readonly revised: SoftwareRecord;
}

/** Interval between two looks at the versions of the listed replicas. */
const CHECK_PERIOD: Milliseconds = 150;

/** Spreads the reads and writes of daemons that see the same change. */
const SYNC_SPREAD: Milliseconds = 200;

const STORE_TIMEOUT: Milliseconds = 900;

/** Longest wait of a new stream for the record of its service. */
const SETTLING_LIMIT: Milliseconds = 2_000;
const SETTLING_PERIOD: Milliseconds = 15;

/** A caller waits for the answer of the store before its stream goes on. */
export const LOOKUP_TIMEOUT: Milliseconds = 400;

export function createSoftwareRecords(
  options: SoftwareRecordsOptions,
): SoftwareRecords {
  const { clock, suspendAwareClock, logger, store, name } = options;
  const { lifetime, storeEra, random = Math.random } = options;
  const { usableVersionsOf = options.versionsOf } = options;
  let marks = 0;
  let transactions = 0;
  const versions = createSoftwareVersions({
    ...{ clock, suspendAwareClock, lifetime, random },
    // The time tells marks of two runs of this daemon apart.
    createMark: () => `${name}/${clock.now()}/${marks += 1}`,
  });
  const reads = new Map<string, Reads>();
  /** Services whose record is being brought up to date. */
  const kept = new Set<string>();

  const table = createSoftwareReads({ logger, store, now: versions.now });

  /** Reads a record for a caller who waits. */
  async function read(service: string): Promise<ReadRecord | undefined> {
    const found = await table.read(service, LOOKUP_TIMEOUT);
    if (found === undefined) versions.reportFailure(service);
    return found;
  }

  /** Returns a read that begins after the call; calls at one time share it. */
  function readAfterwards(service: string): Promise<ReadRecord | undefined> {
    const known = reads.get(service);
    if (known === undefined) return start(service);
    const begin = () => start(service);
    known.next ??= known.present.then(begin, begin);
    return known.next;
  }

  function start(service: string): Promise<ReadRecord | undefined> {
    const present = read(service).finally(() => {
      if (reads.get(service)?.next === undefined) reads.delete(service);
    });
    reads.set(service, { present });
    return present;
  }

  async function write(
    service: string,
    record: SoftwareRecord,
    { rowVersion }: ReadRecord,
  ): Promise<void> {
    transactions += 1;
    const askedAt = versions.now();
    const key = { table: VERSION_TABLE, key: service };
    const settled = await store.transact({
      id: `${name}/software/${transactions}`,
      checks: [{ ...key, version: rowVersion }],
      writes: [{ ...key, value: toValue(record) }],
    }, STORE_TIMEOUT);
    if (settled.kind === "done") {
      versions.confirm(service, record, askedAt);
      logger.log("software_changed", {
        service,
        versions: record.versions.map(describeVersion).join(" "),
      });
      return;
    }
    const reason = settled.kind === "unknown"
      ? settled.reason
      : settled.reason.kind === "refused"
      ? settled.reason.reason
      : undefined;
    // Another daemon has written; what it wrote is read next.
    if (reason === undefined) return;
    logger.log("software_unsaved", { service, reason });
    versions.reportFailure(service);
  }

  function observe(service: string): void {
    versions.observe(service, options.versionsOf(service));
  }

  /** Reads records; returns those in place of which others are to be written. */
  async function review(
    services: readonly string[],
  ): Promise<readonly Revision[]> {
    const found = await table.readAll(services, STORE_TIMEOUT);
    const era = storeEra.current();
    const isRemover = options.isRemover();
    return services.flatMap((service) => {
      const read = found.get(service);
      if (read === undefined) {
        versions.reportFailure(service);
        return [];
      }
      const { record, askedAt } = read;
      if (record?.era === era) versions.confirm(service, record, askedAt);
      const revised = versions.revise(service, record, { isRemover, era });
      return revised === undefined ? [] : [{ service, read, revised }];
    });
  }

  /** Brings the records of services up to date; yields those that are early. */
  async function* keep(
    services: readonly string[],
  ): AsyncGenerator<string, void> {
    const first = await review(services);
    const revised = first.map(({ service }) => service);
    yield* services.filter((service) => !revised.includes(service));
    if (revised.length === 0) return;
    // Another daemon may write the same meanwhile.
    await clock.sleep(SYNC_SPREAD * random());
    const last = await review(revised);
    await Promise.all(
      last.map(({ service, read, revised }) => write(service, revised, read)),
    );
  }

  /**
   * Brings all records that are due up to date. One that is due by its age takes
   * the others with it, so that one read serves all.
   */
  async function keepDue(): Promise<void> {
    const free = options.services().filter((service) => !kept.has(service));
    const isOutdated = free.some(versions.isOutdated);
    const due = new Set(free.filter((service) =>
      versions.isDue(service) ||
      isOutdated && !versions.isInOutage(service)
    ));
    if (due.size === 0) return;
    for (const service of due) kept.add(service);
    try {
      for await (const service of keep([...due])) {
        kept.delete(service);
        due.delete(service);
      }
    } catch (error) {
      logger.log("handler_failed", { reason: String(error) });
      for (const service of due) versions.reportFailure(service);
    } finally {
      for (const service of due) kept.delete(service);
    }
  }

  function stateOfAny(service: string): VersionState {
    const states = [...usableVersionsOf(service)].map((software) =>
      versions.stateOf(service, software)
    );
    if (states.length === 0 || states.includes("recorded")) return "recorded";
    return states.includes("pending") ? "pending" : "unknown";
  }

  return {
    stateOf: versions.stateOf,
    isMixed: versions.isMixed,
    isBarred: (service) =>
      versions.isInOutage(service) && stateOfAny(service) === "unknown",
    async settled(service) {
      const end = clock.monotonic() + SETTLING_LIMIT;
      while (stateOfAny(service) === "pending" && clock.monotonic() < end) {
        await clock.sleep(SETTLING_PERIOD);
      }
    },
    async readSole(service) {
      const found = await readAfterwards(service);
      if (found === undefined) return "unread";
      const { record, askedAt } = found;
      const software = record === undefined
        ? undefined
        : versions.soleOf(service, record, storeEra.current());
      if (software === undefined) return "several";
      return { software, age: versions.now() - askedAt };
    },
    renew: versions.forget,
    async run(signal) {
      while (!signal.aborted) {
        // Origins have to be saved at once, not after a slow read.
        for (const service of options.services()) observe(service);
        void keepDue();
        await clock.sleep(CHECK_PERIOD, signal);
      }
    },
  };
}

function toValue({ era, versions, renewal }: SoftwareRecord) {
  return {
    era,
    versions: versions.map(({ software, leaving }) => ({
      software,
      ...(leaving === undefined ? {} : { leaving }),
    })),
    ...(renewal === undefined ? {} : { renewal: { ...renewal } }),
  };
}

function describeVersion(
  { software, leaving }: SoftwareRecord["versions"][number],
): string {
  return leaving === undefined ? software : `${software} (leaving)`;
}
