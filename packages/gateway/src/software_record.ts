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
import { z } from "zod";

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
  readonly store: Pick<Platform, "readRow" | "transact">;
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

/** A record as it was read. */
interface ReadRecord {
  /** Undefined when there is none. */
  readonly record: SoftwareRecord | undefined;
  readonly rowVersion: number;
  readonly askedAt: Milliseconds;
}

/** Reads of one row: the one under way, and the one that follows it. */
interface Reads {
  readonly present: Promise<ReadRecord | undefined>;
  next?: Promise<ReadRecord | undefined>;
}

const VERSION_TABLE = "software";

/** Interval between two looks at the versions of the listed replicas. */
const CHECK_PERIOD: Milliseconds = 150;

/** Spreads the reads and writes of daemons that see the same change. */
const SYNC_SPREAD: Milliseconds = 200;

const STORE_TIMEOUT: Milliseconds = 900;

/** Longest wait of a new stream for the record of its service. */
const SETTLING_LIMIT: Milliseconds = 2_000;
const SETTLING_PERIOD: Milliseconds = 15;

/** Era of a record that says nothing of its era. */
const NO_ERA = -1;

/** A caller waits for the answer of the store before its stream goes on. */
export const LOOKUP_TIMEOUT: Milliseconds = 400;

const RECORD = z.union([
  z.object({
    era: z.number(),
    versions: z.array(z.object({
      software: z.string(),
      leaving: z.string().optional(),
    })),
    renewal: z.object({ mark: z.string(), time: z.number() }).optional(),
  }),
  // Earlier releases wrote the versions only, after their first streams.
  z.array(z.string()).transform((versions): SoftwareRecord => ({
    era: NO_ERA,
    versions: versions.map((software) => ({ software })),
  })),
]);

/** Stands for a row that cannot be read. */
const UNREADABLE: SoftwareRecord = { era: NO_ERA, versions: [] };

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

  async function read(
    service: string,
    timeout: Milliseconds,
  ): Promise<ReadRecord | undefined> {
    const askedAt = versions.now();
    const key = { table: VERSION_TABLE, key: service };
    const answer = await store.readRow(key, timeout);
    if (answer.isErr()) {
      const { reason } = answer.error;
      logger.log("streams_unread", { table: VERSION_TABLE, reason });
      versions.reportFailure(service);
      return undefined;
    }
    const row = answer.value;
    if (row === undefined) return { record: row, rowVersion: 0, askedAt };
    const { data } = RECORD.safeParse(row.value);
    if (data === undefined) {
      logger.log("entry_rejected", { key: service, reason: "not versions" });
    }
    return { record: data ?? UNREADABLE, rowVersion: row.version, askedAt };
  }

  /** Returns a read that begins after the call; calls at one time share it. */
  function readAfterwards(service: string): Promise<ReadRecord | undefined> {
    const known = reads.get(service);
    if (known === undefined) return start(service);
    known.next ??= known.present.then(() => start(service));
    return known.next;
  }

  function start(service: string): Promise<ReadRecord | undefined> {
    const present = read(service, LOOKUP_TIMEOUT).finally(() => {
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

  /** Reads the record; returns it when another one is to be written. */
  async function review(service: string) {
    const found = await read(service, STORE_TIMEOUT);
    if (found === undefined) return undefined;
    const { record, askedAt } = found;
    const era = storeEra.current();
    if (record?.era === era) versions.confirm(service, record, askedAt);
    const isRemover = options.isRemover();
    const revised = versions.revise(service, record, { isRemover, era });
    return revised === undefined ? undefined : { found, revised };
  }

  /** Brings the record of a service up to date. */
  async function keep(service: string): Promise<void> {
    observe(service);
    if (!versions.isDue(service)) return;
    if (await review(service) === undefined) return;
    // Another daemon may write the same meanwhile.
    await clock.sleep(SYNC_SPREAD * random());
    const last = await review(service);
    if (last !== undefined) await write(service, last.revised, last.found);
  }

  async function keepAlone(service: string): Promise<void> {
    if (kept.has(service)) return;
    kept.add(service);
    try {
      await keep(service);
    } catch (error) {
      logger.log("handler_failed", { reason: String(error) });
      versions.reportFailure(service);
    } finally {
      kept.delete(service);
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
        for (const service of options.services()) void keepAlone(service);
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
