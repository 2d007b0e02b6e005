/**
 * The form in which daemons tell each other what they have heard of replicas:
 * one packed text for each kind of statement, with the age of each, since
 * daemons share no clock.
 */
import { packEntry, unpackEntries } from "@peridotvalve/load";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { STATEMENT_KINDS, type StatementKind } from "./statement.ts";

/** Packed entries by kind. */
export type StatementNews = {
  readonly [Kind in StatementKind]?: string;
};

export interface HeardValue {
  /** Undefined when the replica no longer says so. */
  readonly value: number | undefined;
  /** Time of the answer, on the monotonic clock. */
  readonly heardAt: Milliseconds;
}

interface Keyed {
  readonly kind: StatementKind;
  readonly key: string;
}

/** Values are packed as whole numbers of these parts; 0 states an end. */
const VALUE_STEP = 0.01;

/** JSON around one packed text. */
const JSON_OVERHEAD: Bytes = `{"":""},`.length;

/** Packs as many of the items as fit, in their order. */
export function encodeNews<
  Item extends Keyed & { readonly record: HeardValue },
>(
  items: readonly Item[],
  { now, limit }: { readonly now: Milliseconds; readonly limit: Bytes },
): {
  readonly news: StatementNews | undefined;
  readonly told: readonly Item[];
} {
  const packed = new Map<StatementKind, string>();
  const told: Item[] = [];
  let left = limit;
  for (const item of items) {
    const { kind, key, record: { value, heardAt } } = item;
    const steps = value === undefined ? 0 : 1 + Math.round(value / VALUE_STEP);
    const entry = packEntry(key, [steps, now - heardAt]);
    const known = packed.get(kind);
    const overhead = known === undefined ? kind.length + JSON_OVERHEAD : 0;
    if (entry.length + overhead > left) break;
    left -= entry.length + overhead;
    packed.set(kind, (known ?? "") + entry);
    told.push(item);
  }
  const news = packed.size === 0 ? undefined : Object.fromEntries(packed);
  return { news, told };
}

/** Returns undefined when the news are malformed. */
export function decodeNews(
  news: StatementNews,
  now: Milliseconds,
): readonly (Keyed & HeardValue)[] | undefined {
  const decoded: (Keyed & HeardValue)[] = [];
  for (const kind of STATEMENT_KINDS) {
    const entries = unpackEntries(news[kind] ?? "");
    if (entries.isErr()) return undefined;
    for (const [key, values = []] of entries.value) {
      const [steps, age] = values;
      if (steps === undefined || age === undefined) return undefined;
      const value = steps === 0 ? undefined : (steps - 1) * VALUE_STEP;
      decoded.push({ kind, key, value, heardAt: now - age });
    }
  }
  return decoded;
}
