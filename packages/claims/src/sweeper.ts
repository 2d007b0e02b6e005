/**
 * Settles claims whose owner no longer exists and removes settled rows after
 * their retention. Run it under a lease: concurrent sweepers are safe, but
 * duplicate the work.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Platform, Row } from "@peridotvalve/tables";
import { type Milliseconds, MINUTE, SECOND } from "@peridotvalve/types";
import { CLAIMS_TABLE } from "./call.ts";
import {
  type ClaimRow,
  parseClaimRow,
  toRowValue,
  toUnknownRow,
} from "./row.ts";

export interface ClaimSweeperOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /**
   * Time without a change of the row after which the owner of a claim counts
   * as gone. Must be longer than `sendDeadline` plus the longest service call.
   */
  readonly claimTimeout?: Milliseconds;
  /** Time for which settled rows are kept, in addition to `claimTimeout`. */
  readonly retention?: Milliseconds;
  /** Timeout of each platform call. */
  readonly timeout?: Milliseconds;
  /** Delay between two pages, which leaves read capacity to other clients. */
  readonly pageDelay?: Milliseconds;
}

export interface SweepResult {
  /** Number of rows read. */
  readonly seen: number;
  readonly markedUnknown: number;
  readonly removed: number;
  /** False when a platform call failed or the signal aborted the sweep. */
  readonly complete: boolean;
}

export abstract class ClaimSweeper {
  /** Reads all rows once. Settling a row takes at least two sweeps. */
  abstract sweep(signal: AbortSignal): Promise<SweepResult>;
}

const CLAIM_TIMEOUT: Milliseconds = 5 * MINUTE;
/**
 * Callers repeat a call after minutes to days, and a repeat that finds no row
 * runs again.
 */
export const RETENTION: Milliseconds = 7 * 24 * 60 * MINUTE;

const TIMEOUT: Milliseconds = 2 * SECOND;
const PAGE_DELAY: Milliseconds = 50;
const PAGE_ROWS = 200;

/** A row version and when this sweeper first saw it, in monotonic time. */
interface Observation {
  readonly version: number;
  readonly firstSeenAt: Milliseconds;
}

export function createClaimSweeper(
  {
    platform,
    clock = createSystemClock(),
    claimTimeout = CLAIM_TIMEOUT,
    retention = RETENTION,
    timeout = TIMEOUT,
    pageDelay = PAGE_DELAY,
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
      await clock.sleep(pageDelay, signal);
    }
    yield "failed";
  }

  /** The first observation of the row's current version. */
  function observe(row: Row): Observation {
    const known = observed.get(row.key);
    if (known?.version === row.version) return known;
    return { version: row.version, firstSeenAt: clock.monotonic() };
  }

  /**
   * Whether the row has to be settled or removed if it stays unchanged for
   * `claimTimeout`. The retention is long enough to be compared by wall clocks;
   * the additional `claimTimeout` guards against a clock that has just jumped.
   */
  function isSettleable(claim: ClaimRow): boolean {
    if (claim.state === "claimed") return true;
    return clock.now() - claim.settledAt >= retention;
  }

  async function settle(row: Row, claim: ClaimRow): Promise<boolean> {
    const { table, key, version } = row;
    const value = claim.state === "claimed"
      ? toRowValue(toUnknownRow(claim, clock.now()))
      : null;
    const settlement = await platform.transact({
      id: `sweep/${claim.attempt}`,
      checks: [{ table, key, version }],
      writes: [{ table, key, value }],
    }, timeout);
    return settlement.kind === "done";
  }

  return new (class extends ClaimSweeper {
    override async sweep(signal: AbortSignal): Promise<SweepResult> {
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
          // Rows within their retention are too many to be tracked.
          if (claim === undefined || !isSettleable(claim)) continue;
          const observation = observe(row);
          next.set(row.key, observation);
          if (readAt - observation.firstSeenAt < claimTimeout) continue;
          if (signal.aborted) continue;
          if (!await settle(row, claim)) continue;
          if (claim.state === "claimed") markedUnknown += 1;
          else removed += 1;
        }
      }
      // An incomplete sweep keeps the observations of earlier sweeps.
      observed = complete ? next : new Map([...observed, ...next]);
      return { seen, markedUnknown, removed, complete };
    }
  })();
}
