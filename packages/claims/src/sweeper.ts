/**
 * Settles claims whose owner is long gone and removes old settled rows. Run it
 * under a lease; two sweepers at once do no harm, only double work.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Platform, Row } from "@peridotvalve/tables";
import { type Milliseconds, MINUTE, SECOND } from "@peridotvalve/types";
import { CLAIMS_TABLE } from "./call.ts";
import { type ClaimRow, claimValue, parseClaimRow, unknownRow } from "./row.ts";

export interface ClaimSweeperOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /**
   * Time without a change after which a claim's owner counts as gone. Longer
   * than the send deadline plus the longest call of a service.
   */
  readonly claimTimeout?: Milliseconds;
  /** Time for which settled rows are kept, apart from `claimTimeout`. */
  readonly retention?: Milliseconds;
  /** Time for one call of the platform. */
  readonly timeout?: Milliseconds;
  /** Pause between two pages, which leaves reads of the platform to others. */
  readonly pagePause?: Milliseconds;
}

export interface Sweep {
  readonly seen: number;
  readonly markedUnknown: number;
  readonly removed: number;
  /** False when the platform failed or the signal ended the sweep. */
  readonly complete: boolean;
}

export abstract class ClaimSweeper {
  /** Goes through all rows once. Two sweeps at least settle a claim. */
  abstract sweep(signal: AbortSignal): Promise<Sweep>;
}

const CLAIM_TIMEOUT: Milliseconds = 5 * MINUTE;
/**
 * Callers come back after minutes to days, and a repeat that finds no row runs
 * again.
 */
export const RETENTION: Milliseconds = 7 * 24 * 60 * MINUTE;

const TIMEOUT: Milliseconds = 2 * SECOND;
const PAGE_PAUSE: Milliseconds = 50;
const PAGE_ROWS = 200;

interface Observation {
  readonly version: number;
  readonly since: Milliseconds;
}

export function createClaimSweeper(
  {
    platform,
    clock = createSystemClock(),
    claimTimeout = CLAIM_TIMEOUT,
    retention = RETENTION,
    timeout = TIMEOUT,
    pagePause = PAGE_PAUSE,
  }: ClaimSweeperOptions,
): ClaimSweeper {
  let observed: ReadonlyMap<string, Observation> = new Map();

  async function* readPages(
    signal: AbortSignal,
  ): AsyncGenerator<readonly Row[] | "failed"> {
    let after: string | undefined;
    while (!signal.aborted) {
      const page = await platform.readRows({
        table: CLAIMS_TABLE,
        prefix: "",
        limit: PAGE_ROWS,
        ...(after === undefined ? {} : { after }),
      }, timeout);
      if (page.isErr()) {
        yield "failed";
        return;
      }
      yield page.value.rows;
      after = page.value.rows.at(-1)?.key;
      if (!page.value.more || after === undefined) return;
      await clock.sleep(pagePause, signal);
    }
    yield "failed";
  }

  /** When this sweeper first saw the row's version. */
  function observe(row: Row): Observation {
    const known = observed.get(row.key);
    if (known?.version === row.version) return known;
    return { version: row.version, since: clock.monotonic() };
  }

  /**
   * Whether the row must be settled once it stays unchanged. Wall clocks are
   * accurate enough for the long retention; the time for which the row is then
   * seen unchanged guards against a clock that has just jumped.
   */
  function isDue(claim: ClaimRow): boolean {
    if (claim.state === "claimed") return true;
    return clock.now() - claim.settledAt >= retention;
  }

  async function settle(row: Row, claim: ClaimRow): Promise<boolean> {
    const { table, key, version } = row;
    const value = claim.state === "claimed"
      ? claimValue(unknownRow(claim, clock.now()))
      : null;
    const settlement = await platform.transact({
      id: `sweep/${claim.attempt}`,
      checks: [{ table, key, version }],
      writes: [{ table, key, value }],
    }, timeout);
    return settlement.kind === "done";
  }

  return new (class extends ClaimSweeper {
    override async sweep(signal: AbortSignal): Promise<Sweep> {
      const next = new Map<string, Observation>();
      let seen = 0;
      let markedUnknown = 0;
      let removed = 0;
      let complete = true;
      for await (const rows of readPages(signal)) {
        if (rows === "failed") {
          complete = false;
          break;
        }
        const readAt = clock.monotonic();
        for (const row of rows) {
          seen += 1;
          const claim = parseClaimRow(row);
          // Rows within their retention are not remembered; they are many.
          if (claim === undefined || !isDue(claim)) continue;
          const observation = observe(row);
          next.set(row.key, observation);
          if (readAt - observation.since < claimTimeout) continue;
          if (signal.aborted) continue;
          if (!await settle(row, claim)) continue;
          if (claim.state === "claimed") markedUnknown += 1;
          else removed += 1;
        }
      }
      // A sweep that failed half-way keeps what earlier ones observed.
      observed = complete ? next : new Map([...observed, ...next]);
      return { seen, markedUnknown, removed, complete };
    }
  })();
}
