/**
 * Writes the row of a lease and settles lost answers by reading it back.
 */
import type { Platform, RowKey } from "@peridotvalve/tables";
import type { Milliseconds, Settlement } from "@peridotvalve/types";
import { type LeaseRow, leaseValue, parseLeaseRow } from "./row.ts";

export interface RowWriterOptions {
  readonly platform: Platform;
  readonly key: RowKey;
  /** Time for one call of the platform. */
  readonly timeout: Milliseconds;
}

export abstract class RowWriter {
  /**
   * Writes the row if it has the version. Settles as done with the new version
   * when this very write took effect, however its answer got lost.
   */
  abstract settle(
    version: number,
    value: LeaseRow,
  ): Promise<Settlement<number, string>>;
}

const CONFLICT = "row has changed";

export function createRowWriter(
  { platform, key, timeout }: RowWriterOptions,
): RowWriter {
  async function write(
    version: number,
    value: LeaseRow,
  ): Promise<Settlement<number, string>> {
    const settlement = await platform.transact({
      id: `${value.acquisition}/${value.sequence}`,
      checks: [{ ...key, version }],
      writes: [{ ...key, value: leaseValue(value) }],
    }, timeout);
    if (settlement.kind === "unknown") return settlement;
    if (settlement.kind === "not done") {
      const { reason } = settlement;
      const text = reason.kind === "conflict" ? CONFLICT : reason.reason;
      return { kind: "not done", reason: text };
    }
    const [written] = settlement.value.versions;
    if (written === undefined) throw new Error("commit without a row version");
    return { kind: "done", value: written.version };
  }

  /** The row's version if this very write is what it holds now. */
  async function readBack(value: LeaseRow): Promise<number | undefined> {
    const row = await platform.readRow(key, timeout);
    if (row.isErr() || row.value === undefined) return undefined;
    const found = parseLeaseRow(row.value);
    const isOwn = found?.acquisition === value.acquisition &&
      found.sequence === value.sequence;
    return isOwn ? row.value.version : undefined;
  }

  return new (class extends RowWriter {
    override async settle(
      version: number,
      value: LeaseRow,
    ): Promise<Settlement<number, string>> {
      const settlement = await write(version, value);
      if (settlement.kind === "done") return settlement;
      // A refused write had no effect, so there is nothing to read back.
      const isRefused = settlement.kind === "not done" &&
        settlement.reason !== CONFLICT;
      if (isRefused) return settlement;
      const found = await readBack(value);
      if (found === undefined) return settlement;
      return { kind: "done", value: found };
    }
  })();
}
