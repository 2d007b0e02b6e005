/**
 * Writes the row of a lease. When the response to a write is lost, reads the
 * row back to find out whether the write took effect.
 */
import type { Platform, RowKey } from "@peridotvalve/tables";
import type { Milliseconds, Settlement } from "@peridotvalve/types";
import { type LeaseRow, parseLeaseRow, toRowValue } from "./row.ts";

export interface RowWriterOptions {
  readonly platform: Platform;
  readonly key: RowKey;
  /** Timeout of each platform call. */
  readonly timeout: Milliseconds;
}

export abstract class RowWriter {
  /**
   * Writes the row if its current version is `version`. Settles as done with
   * the new version if this write took effect, even when its response was lost.
   */
  abstract write(
    version: number,
    value: LeaseRow,
  ): Promise<Settlement<number, string>>;
}

const CONFLICT = "row version has changed";

export function createRowWriter(
  { platform, key, timeout }: RowWriterOptions,
): RowWriter {
  async function transact(
    version: number,
    value: LeaseRow,
  ): Promise<Settlement<number, string>> {
    const settlement = await platform.transact({
      id: `${value.acquisition}/${value.sequence}`,
      checks: [{ ...key, version }],
      writes: [{ ...key, value: toRowValue(value) }],
    }, timeout);
    if (settlement.kind === "unknown") return settlement;
    if (settlement.kind === "not done") {
      const { reason } = settlement;
      const text = reason.kind === "conflict" ? CONFLICT : reason.reason;
      return { kind: "not done", reason: text };
    }
    const [written] = settlement.value.versions;
    if (written === undefined) throw new Error("commit has no row version");
    return { kind: "done", value: written.version };
  }

  /** The row's version if the row holds exactly this write. */
  async function readBack(value: LeaseRow): Promise<number | undefined> {
    const row = await platform.readRow(key, timeout);
    if (row.isErr() || row.value === undefined) return undefined;
    const found = parseLeaseRow(row.value);
    const isOwn = found?.acquisition === value.acquisition &&
      found.sequence === value.sequence;
    return isOwn ? row.value.version : undefined;
  }

  return new (class extends RowWriter {
    override async write(
      version: number,
      value: LeaseRow,
    ): Promise<Settlement<number, string>> {
      const settlement = await transact(version, value);
      if (settlement.kind === "done") return settlement;
      // A refused write had no effect, so reading back is unnecessary.
      const isRefused = settlement.kind === "not done" &&
        settlement.reason !== CONFLICT;
      if (isRefused) return settlement;
      const found = await readBack(value);
      if (found === undefined) return settlement;
      return { kind: "done", value: found };
    }
  })();
}
