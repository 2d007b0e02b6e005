/**
 * Peer discovery: each daemon writes a row with its addresses and reads the
 * rows of the others.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { FeedRow, Platform } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { z } from "zod";
import type { PeerAddress } from "./peers.ts";

export interface RegistrationOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: Platform;
  readonly table: string;
  readonly self: PeerAddress;
  readonly seeds: readonly PeerAddress[];
}

export abstract class Registration {
  /**
   * Writes this daemon's row, with retries until the store has confirmed it.
   */
  abstract run(signal: AbortSignal): Promise<void>;
  abstract replaceAll(rows: readonly FeedRow[]): void;
  abstract applyChanges(
    rows: readonly FeedRow[],
    removed: readonly string[],
  ): void;
  /** All known daemons including this one; the seeds while none is known. */
  abstract peers(): readonly PeerAddress[];
}

const ADDRESS = z.object({
  name: z.string(),
  host: z.string(),
  datagrams: z.string(),
  calls: z.string(),
});

const WRITE_TIMEOUT: Milliseconds = 1_000;
const RETRY_DELAY: Milliseconds = 700;

export function createRegistration(options: RegistrationOptions): Registration {
  const { clock, logger, store, table, self, seeds } = options;
  const known = new Map<string, PeerAddress>();

  function addRow({ key, value }: FeedRow): void {
    const parsed = ADDRESS.safeParse(value);
    if (parsed.success) known.set(key, parsed.data);
    else logger.log("entry_rejected", { key, reason: "not a daemon entry" });
  }

  return new (class extends Registration {
    override async run(signal: AbortSignal): Promise<void> {
      const write = { table, key: self.name, value: { ...self } };
      for (let round = 0; !signal.aborted; round += 1) {
        const id = `${self.name}/${round}`;
        const transaction = { id, checks: [], writes: [write] };
        const settlement = await store.transact(transaction, WRITE_TIMEOUT);
        if (settlement.kind === "done") return;
        await clock.sleep(RETRY_DELAY * (0.5 + Math.random()), signal);
      }
    }

    override replaceAll(rows: readonly FeedRow[]): void {
      known.clear();
      rows.forEach(addRow);
    }

    override applyChanges(
      rows: readonly FeedRow[],
      removed: readonly string[],
    ): void {
      for (const key of removed) known.delete(key);
      rows.forEach(addRow);
    }

    override peers(): readonly PeerAddress[] {
      return known.size > 0 ? [...known.values()] : seeds;
    }
  })();
}
