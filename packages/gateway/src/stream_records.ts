/**
 * Knows at which software version a stream began that a caller takes up. A
 * daemon remembers the streams that it has begun. Beyond its own memory, the
 * store holds a row for each service with the versions that streams may have
 * begun at, and, for services with several versions, a row for each stream. In a
 * large fleet a few neighbors collect the rows of the others, so that the calls to
 * the store do not delay the records.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import {
  createSoftwareVersions,
  createStreamOrigins,
  type OriginBatch,
  type StreamOrigin,
} from "@peridotvalve/retries";
import type { Platform, Row, RowWrite } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { hash } from "node:crypto";
import { z } from "zod";

/**
 * Where a stream began. "unknown": no daemon has saved it, and none will.
 * "unread": the records could not be read now.
 */
export type FoundOrigin = KnownOrigin | "unknown" | "unread";

export interface KnownOrigin extends StreamOrigin {
  /** "record": of this stream; "only version": of the service's streams. */
  readonly evidence: "record" | "only version";
  /** Time since the store gave the evidence; 0 for that of this daemon. */
  readonly age: Milliseconds;
}

/** Where the stream with a key began. */
export type OriginRecord = readonly [key: string, origin: StreamOrigin];

export interface StreamRecords {
  /** Records the first event of a stream. */
  record(request: string, origin: StreamOrigin): void;
  /**
   * Finds where the stream of a request began. Without a request, as when the
   * caller names none, it is known while the service has had one version only.
   */
  find(request: string | undefined, service: string): Promise<FoundOrigin>;
  /** Takes records of a neighbor, to save and to remove them in its place. */
  collect(records: readonly OriginRecord[]): void;
  /** Saves the records anew, because the store may have lost them. */
  renew(): void;
  run(signal: AbortSignal): Promise<void>;
}

export interface StreamRecordsOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: Pick<Platform, "readRow" | "readRows" | "transact">;
  readonly name: string;
  /** Services whose streams can be taken up. */
  readonly services: () => readonly string[];
  /** Software versions of the listed replicas of a service. */
  readonly versionsOf: (service: string) => ReadonlySet<string>;
  /** Number of daemons that write records to the store. */
  readonly writers: () => number;
  /**
   * Address of the neighbor that saves the records of this daemon; undefined
   * when it saves them itself.
   */
  readonly collector: () => string | undefined;
  /** Gives records to a collector; returns false when it has not taken them. */
  readonly send: (
    collector: string,
    records: readonly OriginRecord[],
  ) => Promise<boolean>;
  /** Place of this daemon for the removal of what ended daemons have left. */
  readonly rank: () => number;
}

const VERSION_TABLE = "software";
const ORIGIN_TABLE = "streams";

/** Longer than a stream and all tries of its caller last. */
const STREAM_LIFETIME: Milliseconds = 30_000;

/** Interval between two looks at the versions of the listed replicas. */
const CHECK_PERIOD: Milliseconds = 150;

/**
 * Interval between two batches. What is not saved when a daemon is killed cannot
 * be taken up.
 */
const SAVE_PERIOD: Milliseconds = 50;

/** All daemons together make at most 100 writing calls a second. */
const FLEET_WRITE_INTERVAL: Milliseconds = 10;

/** Interval between two looks for records whose daemon has ended. */
const SWEEP_PERIOD: Milliseconds = 60_000;

/** Entries that the store takes in one transaction. */
const MAX_ENTRIES = 100;

/** Records that are looked at together; the others follow a period later. */
const MAX_SWEPT = 500;

const STORE_TIMEOUT: Milliseconds = 900;

/** A caller waits for the answer of the store before its stream goes on. */
const LOOKUP_TIMEOUT: Milliseconds = 400;

/** Time after which a record that another daemon had not saved yet is there. */
const LOOKUP_PAUSE: Milliseconds = 200;

/** Lookups at once; further callers come back. */
const MAX_LOOKUPS = 64;

/** Time for which the recorded versions of a service are not read again. */
const VERSIONS_EXPIRY: Milliseconds = 200;

/** Spreads the first reads and writes of daemons that see the same change. */
const SYNC_SPREAD: Milliseconds = 200;

const VERSIONS = z.array(z.string());
const ORIGIN = z.object({ service: z.string(), software: z.string() });

export function createStreamRecords(
  options: StreamRecordsOptions,
): StreamRecords {
  const { clock, logger, store } = options;
  const versions = createSoftwareVersions({ clock, lifetime: STREAM_LIFETIME });
  const origins = createStreamOrigins({
    clock,
    lifetime: STREAM_LIFETIME,
    needsSaving: (service) => versions.sole(service) === undefined,
  });
  /** The versions of each service that the store is known to hold. */
  const recorded = new Map<string, string>();
  const versionsReadAt = new Map<string, Milliseconds>();
  let lookups = 0;
  let transactions = 0;

  function observe(): void {
    for (const service of options.services()) {
      versions.observe(service, options.versionsOf(service));
    }
  }

  function transact(
    writes: readonly RowWrite[],
    check?: Pick<Row, "table" | "key" | "version">,
  ) {
    transactions += 1;
    const id = `${options.name}/streams/${transactions}`;
    const checks = check === undefined ? [] : [check];
    return store.transact({ id, checks, writes }, STORE_TIMEOUT);
  }

  function logUnread(table: string, reason: string): void {
    logger.log("streams_unread", { table, reason });
  }

  /** Reads the row of a service; undefined when the store does not answer. */
  async function recall(
    service: string,
    timeout: Milliseconds,
  ): Promise<
    { readonly text: string; readonly version: number } | undefined
  > {
    const key = { table: VERSION_TABLE, key: service };
    const read = await store.readRow(key, timeout);
    if (read.isErr()) {
      logUnread(VERSION_TABLE, read.error.reason);
      return undefined;
    }
    const parsed = VERSIONS.safeParse(read.value?.value ?? []);
    if (!parsed.success) {
      logger.log("entry_rejected", { key: service, reason: "not versions" });
    }
    const found = parsed.data ?? [];
    versions.recall(service, found);
    versionsReadAt.set(service, clock.monotonic());
    return { text: toText(found), version: read.value?.version ?? 0 };
  }

  /** Brings the row of a service up to date. */
  async function saveVersions(service: string): Promise<void> {
    if (recorded.get(service) === toText(versions.list(service))) return;
    await clock.sleep(SYNC_SPREAD * Math.random());
    const row = await recall(service, STORE_TIMEOUT);
    if (row === undefined) return;
    const wanted = versions.list(service);
    if (row.text !== toText(wanted)) {
      const key = { table: VERSION_TABLE, key: service };
      const settled = await transact([{ ...key, value: wanted }], {
        ...key,
        version: row.version,
      });
      if (settled.kind !== "done") return;
      logger.log("software_changed", {
        service,
        versions: wanted.join(" "),
      });
    }
    recorded.set(service, toText(wanted));
  }

  async function save({ saves, removals }: OriginBatch): Promise<boolean> {
    const settled = await transact([
      ...saves.map(([key, origin]) => ({
        ...{ table: ORIGIN_TABLE, key },
        value: { ...origin },
      })),
      ...removals.map((key) => ({ table: ORIGIN_TABLE, key, value: null })),
    ]);
    return settled.kind === "done";
  }

  async function saveOrigins(collector: string | undefined): Promise<void> {
    const batch = origins.takeBatch(MAX_ENTRIES);
    const streams = batch.saves.length;
    if (streams + batch.removals.length === 0) return;
    // A collector removes the records itself that it has taken.
    const isSaved = collector === undefined
      ? await save(batch)
      : streams === 0 || await options.send(collector, batch.saves);
    if (isSaved) return;
    origins.giveBack(batch);
    logger.log("streams_unsaved", { streams, collector: collector ?? "" });
  }

  async function keepVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      observe();
      for (const service of options.services()) await saveVersions(service);
      await clock.sleep(CHECK_PERIOD, signal);
    }
  }

  async function keepOrigins(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const collector = options.collector();
      await saveOrigins(collector);
      const period = collector === undefined
        ? options.writers() * FLEET_WRITE_INTERVAL
        : 0;
      await clock.sleep(Math.max(SAVE_PERIOD, period), signal);
    }
  }

  /** Removes the records that were there at the last look and are unchanged. */
  async function sweep(signal: AbortSignal): Promise<void> {
    let earlier: ReadonlySet<string> = new Set();
    while (!signal.aborted) {
      await clock.sleep(SWEEP_PERIOD, signal);
      if (signal.aborted || options.rank() > 0) continue;
      const range = { table: ORIGIN_TABLE, prefix: "", limit: MAX_SWEPT };
      const read = await store.readRows(range, STORE_TIMEOUT);
      if (read.isErr()) {
        logUnread(ORIGIN_TABLE, read.error.reason);
        continue;
      }
      const nameOf = ({ key, version }: Row) => `${key}@${version}`;
      const left = read.value.rows.filter((row) => earlier.has(nameOf(row)));
      earlier = new Set(read.value.rows.map(nameOf));
      for (let at = 0; at < left.length; at += MAX_ENTRIES) {
        const settled = await transact(
          left.slice(at, at + MAX_ENTRIES).map(({ key }) => ({
            ...{ table: ORIGIN_TABLE, key, value: null },
          })),
        );
        if (settled.kind !== "done") break;
      }
    }
  }

  async function readOrigin(key: string): Promise<FoundOrigin> {
    const row = { table: ORIGIN_TABLE, key };
    const read = await store.readRow(row, LOOKUP_TIMEOUT);
    if (read.isErr()) {
      logUnread(ORIGIN_TABLE, read.error.reason);
      return "unread";
    }
    if (read.value === undefined) return "unknown";
    const origin = ORIGIN.safeParse(read.value.value).data;
    if (origin === undefined) {
      logger.log("entry_rejected", { key, reason: "not an origin" });
      return "unknown";
    }
    origins.remember(key, origin);
    return { ...origin, evidence: "record", age: 0 };
  }

  async function lookUp(
    key: string | undefined,
    service: string,
  ): Promise<FoundOrigin> {
    observe();
    const age = clock.monotonic() - (versionsReadAt.get(service) ?? -Infinity);
    // Another daemon may have seen a further version before this one.
    if (age > VERSIONS_EXPIRY) await recall(service, LOOKUP_TIMEOUT);
    const software = versions.sole(service);
    if (software !== undefined) {
      const readAt = versionsReadAt.get(service) ?? -Infinity;
      const readAge = clock.monotonic() - readAt;
      return { service, software, evidence: "only version", age: readAge };
    }
    if (key === undefined) return "unknown";
    const origin = await readOrigin(key);
    if (typeof origin === "object") return origin;
    await clock.sleep(LOOKUP_PAUSE);
    return await readOrigin(key);
  }

  return {
    record(request, origin) {
      origins.record(keyOf(request), origin);
    },
    async find(request, service) {
      const key = request === undefined ? undefined : keyOf(request);
      const known = key === undefined ? undefined : origins.find(key);
      if (known !== undefined) return { ...known, evidence: "record", age: 0 };
      if (lookups >= MAX_LOOKUPS) return "unread";
      lookups += 1;
      try {
        return await lookUp(key, service);
      } finally {
        lookups -= 1;
      }
    },
    collect(records) {
      for (const [key, origin] of records) origins.record(key, origin);
    },
    renew() {
      recorded.clear();
      versionsReadAt.clear();
      origins.renew();
    },
    async run(signal) {
      await Promise.all([
        keepVersions(signal),
        keepOrigins(signal),
        sweep(signal),
      ]);
    },
  };
}

function toText(versions: readonly string[]): string {
  return JSON.stringify([...versions].sort());
}

/** Callers choose the ids of their requests; keys have one length. */
function keyOf(request: string): string {
  return hash("sha256", request, "hex").slice(0, 32);
}
