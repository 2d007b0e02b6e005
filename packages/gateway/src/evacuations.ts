/**
 * The zones that the operator has evacuated: nothing more is sent to replicas
 * there. The set is derived from the rows of the operator's table, whose keys
 * name the zones.
 *
 * A store that has returned from an older copy may lack such a row. The
 * evacuation is then kept for a time in which the operator can write it again,
 * and until a later read has not found the row.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import { eraOf } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import type { TableCodec } from "./options.ts";
import type { TableFollower } from "./table_follower.ts";

export interface Evacuations {
  /** The evacuated zones; another set whenever they have changed. */
  zones(): ReadonlySet<string>;
  /** Takes the rows of the table; called whenever it has been read. */
  refresh(): void;
}

export interface EvacuationsOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly codec: Pick<TableCodec, "readEvacuation">;
  /** Region of each zone of the settings. */
  readonly regions: ReadonlyMap<string, string>;
  /** The operator's table. */
  readonly table: () => Pick<
    TableFollower,
    "forget" | "knownUntil" | "rows" | "version"
  >;
}

/** Time for which an evacuation is kept that a returned store lacks. */
const KEPT_FOR: Milliseconds = 30_000;

interface Evacuation {
  readonly zone: string;
  /**
   * Time of which the table must be known before it ends; absent while the store
   * has it.
   */
  readonly keptUntil?: Milliseconds;
}

export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { clock, logger, codec, regions, table } = options;
  /** Evacuations by the key of their row. */
  let known: ReadonlyMap<string, Evacuation> = new Map();
  let zones: ReadonlySet<string> = new Set();
  let era = 0;
  let nextExpiry: Milliseconds = Infinity;

  function readRows(): ReadonlyMap<string, Evacuation> {
    return new Map(
      table().rows().flatMap(({ key, version }) => {
        const zone = codec.readEvacuation(key);
        if (zone === undefined) return [];
        if (eraOf(version) >= era) return [[key, { zone }]];
        const keptUntil = known.get(key)?.keptUntil ??
          clock.monotonic() + KEPT_FOR;
        return [[key, { zone, keptUntil }]];
      }),
    );
  }

  function take(next: ReadonlyMap<string, Evacuation>): void {
    const previous = known;
    known = next;
    for (const [key, { zone, keptUntil }] of next) {
      const before = previous.get(key);
      if (before === undefined) {
        const isKnown = regions.has(zone);
        logger.log(isKnown ? "zone_evacuated" : "evacuation_unknown", { zone });
      }
      if (keptUntil !== undefined && before?.keptUntil === undefined) {
        logger.log("evacuation_kept", { zone, duration: KEPT_FOR });
      }
    }
    for (const [key, { zone }] of previous) {
      if (!next.has(key)) logger.log("evacuation_ended", { zone });
    }
    const ends = [...next.values()].map(({ keptUntil = Infinity }) =>
      keptUntil
    );
    nextExpiry = Math.min(Infinity, ...ends);
    const named = [...next.values()].map(({ zone }) => zone);
    const present = new Set(named.filter((zone) => regions.has(zone)));
    const isSame = present.size === zones.size &&
      [...present].every((zone) => zones.has(zone));
    if (!isSame) zones = present;
  }

  function refresh(): void {
    era = eraOf(table().version());
    take(readRows());
    dropExpired();
  }

  function dropExpired(): void {
    const knownUntil = table().knownUntil();
    if (knownUntil < nextExpiry) return;
    for (const [key, { zone, keptUntil = Infinity }] of known) {
      if (keptUntil > knownUntil) continue;
      table().forget(key);
      logger.log("evacuation_expired", { zone });
    }
    take(readRows());
  }

  return {
    zones() {
      // A peer can tell of the new era without a row that has changed.
      if (eraOf(table().version()) !== era) refresh();
      dropExpired();
      return zones;
    },
    refresh,
  };
}
