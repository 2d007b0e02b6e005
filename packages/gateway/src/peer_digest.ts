/**
 * The digest in each heartbeat between daemons, and the content of an aggregate
 * for another zone. Short field names keep a heartbeat within one packet.
 */
import type { StatementNews } from "@peridotvalve/backpressure";
import type { CacheEvent, JournalPage } from "@peridotvalve/dispatch";
import { type Delta, digestSchema } from "@peridotvalve/load";
import {
  type CrashNews,
  MAX_SUSPECT_LENGTH,
  MAX_TOLD_SUSPECTS,
} from "@peridotvalve/retries";
import { MAX_ERA } from "@peridotvalve/tables";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { z } from "zod";

/** What a peer knows of a followed table. */
export interface TableNews {
  readonly table: string;
  readonly contentVersion: number;
  /** Time since the peer's own newest read; absent when it does not read. */
  readonly age?: Milliseconds;
  /**
   * Fingerprint of the rows that the sender keeps although the returned store
   * lacks them or has older ones; absent when there are none.
   */
  readonly kept?: string;
}

/** Parts that a replica is expected to cache after a request. */
export interface SentParts {
  readonly replica: string;
  readonly salt: string;
  readonly parts: readonly (readonly [id: string, tokens: number])[];
}

/** Weights that a replica has loaded. */
export interface LoadedWeights {
  readonly replica: string;
  readonly model: string;
  readonly version: number;
}

export interface PeerDigest {
  readonly tables: readonly TableNews[];
  /** Era of the store, as the sender has read it; absent while it has none. */
  readonly storeEra?: number;
  /** Replicas that load weights. */
  readonly busy: readonly string[];
  /** Loads that have ended on the sender's order. */
  readonly loaded?: readonly LoadedWeights[];
  /** Replicas that do not respond to the sender. */
  readonly silent: readonly string[];
  /** Time since the sender received data from any replica. */
  readonly receivedAge?: Milliseconds;
  /** True when the sender reaches no replica although others do. */
  readonly isOutOfContact?: true;
  readonly load?: Delta;
  /** Load of the replicas of another zone. */
  readonly zoneLoad?: readonly [zone: string, load: Delta];
  readonly sent: readonly SentParts[];
  readonly pages: readonly JournalPage[];
  /** What replicas say of themselves. */
  readonly statements?: StatementNews;
  readonly crashes?: CrashNews;
  /** States that the news of crashes were malformed and left out. */
  readonly hasMalformedCrashes?: true;
}

/** What a zone tells another zone. */
export interface ZoneDigest {
  readonly busy: readonly string[];
  /** Time since a daemon of the zone received data from any replica. */
  readonly receivedAge?: Milliseconds;
  readonly load?: Delta;
  readonly crashes?: CrashNews;
  /** States that the news of crashes were malformed and left out. */
  readonly hasMalformedCrashes?: true;
}

const name = z.string().max(200);
const count = z.number().nonnegative();
const version = z.number().int().nonnegative();
const names = z.array(name).max(64);
const cacheEvent = z.tuple([name, name, count]);
const suspect = z.string().max(MAX_SUSPECT_LENGTH);
/**
 * Verdicts, crash records and proofs. They are checked apart from the digest, so
 * that a fault in them doesn't cost the load, tables and caches beside them.
 */
const CRASHES = z.tuple([
  z.array(z.tuple([suspect, count, count, z.number().int().min(1).max(64)]))
    .max(16),
  z.array(z.tuple([name, count, z.array(suspect).max(MAX_TOLD_SUSPECTS)])).max(
    32,
  ),
  z.array(z.tuple([suspect, count])).max(32),
]);

/** Suspects of crashes on which answers had begun, with the time since then. */
const BEGUN = z.array(z.tuple([
  ...[name, count] as const,
  z.array(z.tuple([suspect, count])).max(MAX_TOLD_SUSPECTS),
])).max(32);

const PEER_DIGEST = z.object({
  t: z.array(z.tuple([name, count, count.nullable()])).max(8),
  // Fingerprints of kept rows by table; daemons of earlier releases take exactly
  // three members in each item of `t`.
  r: z.record(name, name).optional(),
  e: z.number().int().nonnegative().max(MAX_ERA).optional(),
  b: names.optional(),
  s: names.optional(),
  a: count.optional(),
  o: z.literal(true).optional(),
  w: z.array(z.tuple([name, name, version])).max(64).optional(),
  l: digestSchema.optional(),
  z: z.tuple([name, digestSchema]).optional(),
  p: z.array(z.tuple([name, name, z.array(z.tuple([name, count])).max(16)]))
    .max(64).optional(),
  k: z.array(z.tuple([name, z.number(), count, count, z.array(cacheEvent)]))
    .max(64).optional(),
  c: z.unknown().optional(),
  // Crashes by answers that had begun.
  g: z.unknown().optional(),
  // By kind; daemons of later releases may name further kinds.
  n: z.record(z.string(), z.string().max(1_200)).optional(),
});

const ZONE_DIGEST = z.object({
  b: names.optional(),
  a: count.optional(),
  l: digestSchema.optional(),
  c: z.unknown().optional(),
  // Crashes by answers that had begun.
  g: z.unknown().optional(),
});

/**
 * Returns undefined when the digest is malformed. Ages include the time that it
 * may have waited here before it was read.
 */
export function decodePeerDigest(
  wire: unknown,
  waited: Milliseconds = 0,
): PeerDigest | undefined {
  const { data } = PEER_DIGEST.safeParse(wire);
  if (data === undefined) return undefined;
  return {
    tables: data.t.map(([table, contentVersion, age]) => ({
      table,
      contentVersion,
      ...(age === null ? {} : { age: age + waited }),
      ...(data.r?.[table] !== undefined && { kept: data.r[table] }),
    })),
    ...(data.e === undefined ? {} : { storeEra: data.e }),
    busy: data.b ?? [],
    ...(data.w === undefined ? {} : {
      loaded: data.w.map(([replica, model, version]) => ({
        replica,
        model,
        version,
      })),
    }),
    silent: data.s ?? [],
    ...(data.a === undefined ? {} : { receivedAge: data.a + waited }),
    ...(data.o === undefined ? {} : { isOutOfContact: data.o }),
    ...(data.l === undefined ? {} : { load: data.l as Delta }),
    ...(data.z === undefined
      ? {}
      : { zoneLoad: [data.z[0], data.z[1] as Delta] as const }),
    sent: (data.p ?? []).map(([replica, salt, parts]) => ({
      replica,
      salt,
      parts,
    })),
    pages: (data.k ?? []).map(([store, epoch, first, age, events]) => ({
      ...{ store, epoch, first, age: age + waited },
      events: events.map(decodeCacheEvent),
    })),
    ...(data.n === undefined ? {} : { statements: data.n as StatementNews }),
    ...decodeCrashes(data),
  };
}

export function encodePeerDigest(digest: PeerDigest): unknown {
  const { busy, silent, load, zoneLoad, sent, pages } = digest;
  const { crashes, statements, storeEra, receivedAge, loaded = [] } = digest;
  const kept = digest.tables.flatMap(({ table, kept }) =>
    kept === undefined ? [] : [[table, kept] as const]
  );
  return {
    t: digest.tables.map(({ table, contentVersion, age }) => [
      table,
      contentVersion,
      age === undefined ? null : Math.round(age),
    ]),
    ...(kept.length > 0 && { r: Object.fromEntries(kept) }),
    ...(storeEra !== undefined && { e: storeEra }),
    ...(busy.length > 0 && { b: busy }),
    ...(loaded.length > 0 && {
      w: loaded.map(({ replica, model, version }) => [replica, model, version]),
    }),
    ...(silent.length > 0 && { s: silent }),
    ...(receivedAge !== undefined && { a: Math.round(receivedAge) }),
    ...(digest.isOutOfContact === true && { o: true }),
    ...(load !== undefined && { l: load }),
    ...(zoneLoad !== undefined && { z: zoneLoad }),
    ...(sent.length > 0 && {
      p: sent.map(({ replica, salt, parts }) => [replica, salt, parts]),
    }),
    ...(pages.length > 0 && {
      k: pages.map(({ store, epoch, first, age, events }) => [
        ...[store, epoch, first, Math.round(age)],
        events.map(encodeCacheEvent),
      ]),
    }),
    ...(statements !== undefined && { n: statements }),
    ...encodeCrashes(crashes),
  };
}

export function decodeZoneDigest(
  wire: unknown,
  waited: Milliseconds = 0,
): ZoneDigest | undefined {
  const { data } = ZONE_DIGEST.safeParse(wire);
  if (data === undefined) return undefined;
  return {
    busy: data.b ?? [],
    ...(data.a === undefined ? {} : { receivedAge: data.a + waited }),
    ...(data.l === undefined ? {} : { load: data.l as Delta }),
    ...decodeCrashes(data),
  };
}

export function encodeZoneDigest(
  { busy, receivedAge, load, crashes }: ZoneDigest,
): unknown {
  return {
    ...(busy.length > 0 && { b: busy }),
    ...(receivedAge !== undefined && { a: Math.round(receivedAge) }),
    ...(load !== undefined && { l: load }),
    ...encodeCrashes(crashes),
  };
}

function encodeCrashes(news: CrashNews | undefined) {
  if (news === undefined) return {};
  const { verdicts, records, proofs, begun } = news;
  // Daemons of earlier releases take exactly three members in `c`.
  return { c: [verdicts, records, proofs], ...(begun && { g: begun }) };
}

function decodeCrashes(
  { c, g }: { readonly c?: unknown; readonly g?: unknown },
): Pick<PeerDigest, "crashes" | "hasMalformedCrashes"> {
  if (c === undefined) return {};
  const { data } = CRASHES.safeParse(c);
  const begun = BEGUN.optional().safeParse(g);
  if (data === undefined || !begun.success) {
    return { hasMalformedCrashes: true };
  }
  const [verdicts, records, proofs] = data;
  const late = begun.data === undefined ? {} : { begun: begun.data };
  return { crashes: { verdicts, records, proofs, ...late } };
}

function encodeCacheEvent({ salt, part, tokens }: CacheEvent) {
  return [salt, part, tokens];
}

function decodeCacheEvent(
  [salt, part, tokens]: readonly [string, string, number],
): CacheEvent {
  return { salt, part, tokens };
}

/** Size of a value as JSON. */
export function measureJson(value: unknown): Bytes {
  return value === undefined ? 0 : JSON.stringify(value).length;
}
