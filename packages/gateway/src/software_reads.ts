/**
 * Reads the records of software versions from the store: the row of one service,
 * or all rows in one page, so that a daemon with many services makes no more calls
 * than one with few.
 */
import type { EventLogger } from "@peridotvalve/events";
import type { SoftwareRecord } from "@peridotvalve/retries";
import type { Platform, Row } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { z } from "zod";

/** A record as it was read. */
export interface ReadRecord {
  /** Undefined when there is none. */
  readonly record: SoftwareRecord | undefined;
  readonly rowVersion: number;
  /** Time before the store was asked. */
  readonly askedAt: Milliseconds;
}

export interface SoftwareReads {
  /** Reads the record of a service; undefined when it could not be read. */
  read(
    service: string,
    timeout: Milliseconds,
  ): Promise<ReadRecord | undefined>;
  /**
   * Reads the records of services, with one call unless there are hundreds;
   * those that could not be read are left out.
   */
  readAll(
    services: readonly string[],
    timeout: Milliseconds,
  ): Promise<ReadonlyMap<string, ReadRecord>>;
}

export interface SoftwareReadsOptions {
  readonly logger: EventLogger;
  readonly store: Pick<Platform, "readRow" | "readRows">;
  readonly now: () => Milliseconds;
}

export const VERSION_TABLE = "software";

/** Rows that the store returns in one page. */
const MAX_ROWS = 500;

/** Era of a record that says nothing of its era. */
const NO_ERA = -1;

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

export function createSoftwareReads(
  { logger, store, now }: SoftwareReadsOptions,
): SoftwareReads {
  function decode(row: Row | undefined, askedAt: Milliseconds): ReadRecord {
    if (row === undefined) return { record: row, rowVersion: 0, askedAt };
    const { data } = RECORD.safeParse(row.value);
    if (data === undefined) {
      logger.log("entry_rejected", { key: row.key, reason: "not versions" });
    }
    return { record: data ?? UNREADABLE, rowVersion: row.version, askedAt };
  }

  function logUnread(reason: string): void {
    logger.log("streams_unread", { table: VERSION_TABLE, reason });
  }

  async function read(service: string, timeout: Milliseconds) {
    const askedAt = now();
    const key = { table: VERSION_TABLE, key: service };
    const answer = await store.readRow(key, timeout);
    if (answer.isOk()) return decode(answer.value, askedAt);
    logUnread(answer.error.reason);
    return undefined;
  }

  /** Reads services one by one. */
  async function readEach(
    services: readonly string[],
    timeout: Milliseconds,
  ): Promise<Map<string, ReadRecord>> {
    const found = new Map<string, ReadRecord>();
    await Promise.all(services.map(async (service) => {
      const record = await read(service, timeout);
      if (record !== undefined) found.set(service, record);
    }));
    return found;
  }

  return {
    read,
    async readAll(services, timeout) {
      if (services.length <= 1) return await readEach(services, timeout);
      const askedAt = now();
      const range = { table: VERSION_TABLE, prefix: "", limit: MAX_ROWS };
      const answer = await store.readRows(range, timeout);
      if (answer.isErr()) {
        logUnread(answer.error.reason);
        return new Map();
      }
      const { rows, more } = answer.value;
      const byService = new Map(rows.map((row) => [row.key, row]));
      // A row that is not in the page may follow it.
      const rest = more
        ? services.filter((service) => !byService.has(service))
        : [];
      const found = await readEach(rest, timeout);
      for (const service of services) {
        if (rest.includes(service)) continue;
        found.set(service, decode(byService.get(service), askedAt));
      }
      return found;
    },
  };
}
