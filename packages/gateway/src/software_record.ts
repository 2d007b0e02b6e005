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
  soleVersion,
  type VersionState,
} from "@peridotvalve/retries";
import { eraOf, type Platform, type StoreEra } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { z } from "zod";

export interface SoftwareRecords {
  /** Whether streams of the service may begin at the version. */
  stateOf(service: string, software: string): VersionState;
  /** False when streams may begin at no listed version, now or soon. */
  mayBegin(service: string): boolean;
  /**
   * Resolves when streams may begin at a listed version, or it is known that
   * they may not.
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
  readonly usageClock: Clock;
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
  /** True when this daemon removes versions that are not in use. */
  readonly isRemover: () => boolean;
}

/** A record as it was read. */
interface ReadRecord {
  /** Undefined when there is none. */
  readonly record: SoftwareRecord | undefined;
  readonly rowVersion: number;
  /** The record is of an earlier era of the store. */
  readonly isOutdated: boolean;
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

/** A caller waits for the answer of the store before its stream goes on. */
export const LOOKUP_TIMEOUT: Milliseconds = 400;

const RECORD = z.union([
  z.object({
    versions: z.array(z.object({
      software: z.string(),
      leaving: z.string().optional(),
    })),
    renewal: z.string().optional(),
  }),
  // Earlier releases wrote the versions only.
  z.array(z.string()).transform((versions): SoftwareRecord => ({
    versions: versions.map((software) => ({ software })),
  })),
]);

export function createSoftwareRecords(
  options: SoftwareRecordsOptions,
): SoftwareRecords {
  const { clock, usageClock, logger, store, name, lifetime } = options;
  let marks = 0;
  let transactions = 0;
  const versions = createSoftwareVersions({
    ...{ clock, usageClock, lifetime },
    // The time tells marks of two runs of this daemon apart.
    createMark: () => `${name}/${clock.now()}/${marks += 1}`,
  });
  const reads = new Map<string, Reads>();
  /** Called when what is known of the records may have changed. */
  const waiting: (() => void)[] = [];

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
      versions.recordFailure(service);
      return undefined;
    }
    const row = answer.value;
    const parsed = row === undefined ? undefined : RECORD.safeParse(row.value);
    if (parsed?.success === false) {
      logger.log("entry_rejected", { key: service, reason: "not versions" });
    }
    const rowVersion = row?.version ?? 0;
    return {
      ...{ record: parsed?.data, rowVersion, askedAt },
      isOutdated: parsed?.success === false ||
        (row !== undefined && eraOf(rowVersion) < options.storeEra.current()),
    };
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
    const isConflict = settled.kind === "not done" &&
      settled.reason.kind === "conflict";
    // Another daemon has written; what it wrote is read next.
    if (!isConflict) versions.recordFailure(service);
  }

  function observe(service: string): void {
    versions.observe(service, options.versionsOf(service));
  }

  /** Reads the record; returns it when another one is to be written. */
  async function review(service: string) {
    const found = await read(service, STORE_TIMEOUT);
    if (found === undefined) return undefined;
    const { record, isOutdated, askedAt } = found;
    if (record !== undefined && !isOutdated) {
      versions.confirm(service, record, askedAt);
    }
    const isRemover = options.isRemover();
    const revised = versions.revise(service, record, { isRemover, isOutdated });
    return revised === undefined ? undefined : { found, revised };
  }

  /** Brings the record of a service up to date. */
  async function keep(service: string): Promise<void> {
    observe(service);
    if (!versions.isDue(service)) return;
    if (await review(service) !== undefined) {
      // Another daemon may write the same meanwhile.
      await clock.sleep(SYNC_SPREAD * Math.random());
      const last = await review(service);
      if (last !== undefined) await write(service, last.revised, last.found);
    }
    for (const wake of waiting.splice(0)) wake();
  }

  return {
    stateOf: versions.stateOf,
    mayBegin: (service) => versions.stateOfAny(service) !== "unknown",
    async settled(service) {
      observe(service);
      while (versions.stateOfAny(service) === "pending") {
        await new Promise<void>((resolve) => waiting.push(resolve));
      }
    },
    isMixed: versions.isMixed,
    async readSole(service) {
      const found = await readAfterwards(service);
      if (found === undefined) return "unread";
      const { record, isOutdated, askedAt } = found;
      const software = record === undefined || isOutdated
        ? undefined
        : soleVersion(record);
      if (software === undefined) return "several";
      return { software, age: versions.now() - askedAt };
    },
    renew: versions.forget,
    async run(signal) {
      while (!signal.aborted) {
        await Promise.all(options.services().map(keep));
        await clock.sleep(CHECK_PERIOD, signal);
      }
    },
  };
}

function toValue({ versions, renewal }: SoftwareRecord) {
  return {
    versions: versions.map(({ software, leaving }) => ({
      software,
      ...(leaving === undefined ? {} : { leaving }),
    })),
    ...(renewal === undefined ? {} : { renewal }),
  };
}

function describeVersion(
  { software, leaving }: SoftwareRecord["versions"][number],
): string {
  return leaving === undefined ? software : `${software} (leaving)`;
}
