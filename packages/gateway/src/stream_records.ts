/**
 * Knows at which software version a stream began that a caller takes up. A
 * daemon remembers the streams that it has begun. Beyond its own memory, the
 * store holds the versions of each service (`software_record.ts`) and, for
 * services with several, or after a change of a route to them
 * (`stream_routes.ts`), a row for each stream. In a large fleet a few neighbors
 * collect the rows of the others, so that the calls to the store do not delay the
 * records.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import {
  createStreamOrigins,
  type OriginBatch,
  type StreamOrigin,
} from "@peridotvalve/retries";
import type { Platform, Row, RowWrite } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { hash } from "node:crypto";
import { z } from "zod";
import { LOOKUP_TIMEOUT, type SoftwareRecords } from "./software_record.ts";
import type { StreamRoute, StreamRoutes } from "./stream_routes.ts";

/**
 * Where a stream began. "unknown": no daemon has saved it, and none will.
 * "unread": the records could not be read now.
 */
export type FoundOrigin = KnownOrigin | "unknown" | "unread";

export interface KnownOrigin extends StreamOrigin {
  /** "record": of this stream; "only version": of the service's streams. */
  readonly evidence: "record" | "only version";
  /** Time since the store was asked for the only version; else 0. */
  readonly age: Milliseconds;
}

/** Where the stream with a key began. */
export type OriginRecord = readonly [key: string, origin: StreamOrigin];

export interface StreamRecords {
  /** Records the first event of a stream. */
  record(request: string, origin: StreamOrigin): void;
  /**
   * Finds where the stream of a request began that is taken up by a route.
   * Without a request, as when the caller names none, it is known while the route
   * leads to one service, which has had one version only.
   */
  find(request: string | undefined, route: StreamRoute): Promise<FoundOrigin>;
  /** Takes records of a neighbor, to save and to remove them in its place. */
  collect(records: readonly OriginRecord[]): void;
  /** Saves the origins anew, because the store may have lost them. */
  renew(): void;
  run(signal: AbortSignal): Promise<void>;
}

export interface StreamRecordsOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: Pick<Platform, "readRow" | "readRows" | "transact">;
  readonly name: string;
  readonly software: Pick<SoftwareRecords, "isMixed" | "readSole">;
  readonly routes: Pick<StreamRoutes, "servicesOf" | "isAmbiguous">;
  /** Number of daemons that write records to the store. */
  readonly writers: () => number;
  /**
   * Address of the neighbor that saves the records of this daemon; undefined
   * when it saves them itself.
   */
  readonly collector: () => string | undefined;
  /**
   * Address of a neighbor that is asked to save the records while the store
   * cannot be reached from here.
   */
  readonly neighbor: () => string | undefined;
  /** Gives records to a neighbor; returns false when it has not taken them. */
  readonly send: (
    collector: string,
    records: readonly OriginRecord[],
  ) => Promise<boolean>;
  /** Place of this daemon for the removal of what ended daemons have left. */
  readonly rank: () => number;
}

const ORIGIN_TABLE = "streams";

/** Longer than a stream and all tries of its caller last. */
export const STREAM_LIFETIME: Milliseconds = 30_000;

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

/**
 * Time after which a neighbor is given what the store has not confirmed. A stream
 * is taken up a moment after its begin, and its origin is looked for until
 * `LOOKUP_PAUSES` have passed.
 */
const ANSWER_TIME: Milliseconds = 200;

/** Time for which neighbors save in place of a daemon whose save has failed. */
const OUTAGE_PERIOD: Milliseconds = 2_000;

/**
 * Pauses before further looks for a record that another daemon had not saved yet.
 * The first one covers `SAVE_PERIOD` in calm, both together a busy machine or the
 * way by a neighbor.
 */
const LOOKUP_PAUSES: readonly Milliseconds[] = [100, 350];

/** Reads of stream records at once; further callers come back. */
const MAX_LOOKUPS = 64;

const ORIGIN = z.object({ service: z.string(), software: z.string() });

export function createStreamRecords(
  options: StreamRecordsOptions,
): StreamRecords {
  const { clock, logger, store, software, routes } = options;
  const origins = createStreamOrigins({
    clock,
    lifetime: STREAM_LIFETIME,
    needsSaving: (service) =>
      software.isMixed(service) || routes.isAmbiguous(service),
  });
  const startedAt = clock.monotonic();
  let lookups = 0;
  let transactions = 0;
  let nextSave: Milliseconds = -Infinity;
  let nextReturn: Milliseconds = -Infinity;

  function transact(writes: readonly RowWrite[]) {
    transactions += 1;
    const id = `${options.name}/streams/${transactions}`;
    return store.transact({ id, checks: [], writes }, STORE_TIMEOUT);
  }

  function logUnread(reason: string): void {
    logger.log("streams_unread", { table: ORIGIN_TABLE, reason });
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
    const { saves, removals } = batch;
    if (saves.length + removals.length === 0) return;
    if (collector === undefined) return await saveHere(batch);
    // A collector removes the records itself that it has taken.
    const isTaken = saves.length === 0 || await options.send(collector, saves);
    if (!isTaken) await giveToNeighbor(batch, collector);
  }

  async function giveToNeighbor(
    batch: OriginBatch,
    collector = "",
  ): Promise<void> {
    const { saves, removals } = batch;
    const [left, given] = splitReturned(saves);
    const neighbor = given.length > 0 ? options.neighbor() : undefined;
    if (neighbor !== undefined && await options.send(neighbor, given)) {
      return origins.giveBack({ saves: left, removals });
    }
    origins.giveBack(batch);
    const streams = given.length;
    if (left.length > 0 && streams === 0) return;
    logger.log("streams_unsaved", { streams, collector });
  }

  /**
   * Keeps what has come back for a time, as it would go round among the daemons
   * in an outage of the store for all of them.
   */
  function splitReturned(saves: OriginBatch["saves"]) {
    const now = clock.monotonic();
    const returned = saves.filter(([key]) => origins.hasReturned(key));
    if (returned.length === 0) return [[], saves] as const;
    if (now < nextReturn) {
      return [returned, saves.filter((each) => !returned.includes(each))];
    }
    nextReturn = now + OUTAGE_PERIOD;
    return [[], saves] as const;
  }

  /**
   * Saves in the store, unless it could not be reached a moment ago. Where it does
   * not answer soon, a neighbor is given the origins of this daemon as well, and
   * those that follow.
   */
  async function saveHere(batch: OriginBatch): Promise<void> {
    const neighbor = options.neighbor();
    if (neighbor !== undefined && clock.monotonic() < nextSave) {
      return await giveToNeighbor(batch);
    }
    const saving = save(batch).catch(() => false);
    const answered = new AbortController();
    const answer = neighbor === undefined ? await saving : await Promise.race([
      saving,
      clock.sleep(ANSWER_TIME, answered.signal).then(() => undefined),
    ]);
    answered.abort();
    if (answer === true) return;
    nextSave = clock.monotonic() + OUTAGE_PERIOD;
    if (answer === false) return await giveToNeighbor(batch);
    const { saves, removals } = batch;
    const own = saves.filter(([key]) => !origins.isCollected(key));
    const isTaken = neighbor !== undefined && own.length > 0 &&
      await options.send(neighbor, own);
    const left = isTaken
      ? saves.filter(([key]) => origins.isCollected(key))
      : saves;
    void saving.then((isSaved) => {
      if (isSaved) nextSave = -Infinity;
      else origins.giveBack({ saves: left, removals });
    });
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
        logUnread(read.error.reason);
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
    if (lookups >= MAX_LOOKUPS) return "unread";
    lookups += 1;
    const row = { table: ORIGIN_TABLE, key };
    const read = await store.readRow(row, LOOKUP_TIMEOUT)
      .finally(() => lookups -= 1);
    if (read.isErr()) {
      logUnread(read.error.reason);
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

  /** Finds the origin of all streams that may have begun at the services. */
  async function findSole(services: readonly string[]): Promise<FoundOrigin> {
    const [service, ...others] = services;
    if (service === undefined || others.length > 0) return "unknown";
    const sole = await software.readSole(service);
    if (sole === "unread") return sole;
    if (sole === "several") return "unknown";
    return { service, ...sole, evidence: "only version" };
  }

  /**
   * Finds the origin that others have saved after a change of the route of which
   * this daemon does not know, as it has started since.
   */
  async function findSaved(
    key: string | undefined,
    route: StreamRoute,
  ): Promise<FoundOrigin> {
    const isRecent = clock.monotonic() - startedAt < 2 * STREAM_LIFETIME;
    if (!isRecent || route.targets.length <= 1 || key === undefined) {
      return "unknown";
    }
    return await readOrigin(key);
  }

  async function lookUp(
    key: string | undefined,
    services: readonly string[],
  ): Promise<FoundOrigin> {
    const sole = await findSole(services);
    if (sole !== "unknown") return sole;
    if (key === undefined) return "unknown";
    let origin = await readOrigin(key);
    for (const pause of LOOKUP_PAUSES) {
      if (origin !== "unknown") break;
      await clock.sleep(pause);
      origin = await readOrigin(key);
    }
    return origin;
  }

  return {
    record(request, origin) {
      origins.record(keyOf(request), origin);
    },
    async find(request, route) {
      const key = request === undefined ? undefined : keyOf(request);
      const known = key === undefined ? undefined : origins.find(key);
      if (known !== undefined) return { ...known, evidence: "record", age: 0 };
      const saved = await findSaved(key, route);
      if (saved !== "unknown") return saved;
      return await lookUp(key, routes.servicesOf(route, request));
    },
    collect(records) {
      for (const [key, origin] of records) origins.collect(key, origin);
    },
    renew: origins.renew,
    async run(signal) {
      await Promise.all([keepOrigins(signal), sweep(signal)]);
    },
  };
}

/** Callers choose the ids of their requests; keys have one length. */
function keyOf(request: string): string {
  return hash("sha256", request, "hex").slice(0, 32);
}
