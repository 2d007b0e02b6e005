/**
 * How daemons find each other: each writes a row with its addresses, and reads
 * the rows of the others.
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
  /** Writes this daemon's row, again until it is there. */
  abstract run(signal: AbortSignal): Promise<void>;
  abstract takeAll(rows: readonly FeedRow[]): void;
  abstract takeChanges(
    rows: readonly FeedRow[],
    removed: readonly string[],
  ): void;
  /** All known daemons, this one among them; seeds while none is known. */
  abstract peers(): readonly PeerAddress[];
}

const ADDRESS = z.object({
  name: z.string(),
  host: z.string(),
  datagrams: z.string(),
  calls: z.string(),
});

const TIMEOUT: Milliseconds = 1_000;
const AGAIN: Milliseconds = 700;

export function createRegistration(options: RegistrationOptions): Registration {
  const { clock, logger, store, table, self, seeds } = options;
  const known = new Map<string, PeerAddress>();

  function take({ key, value }: FeedRow): void {
    const parsed = ADDRESS.safeParse(value);
    if (parsed.success) known.set(key, parsed.data);
    else logger.log("entry_rejected", { key, reason: "not a daemon's row" });
  }

  return new (class extends Registration {
    override async run(signal: AbortSignal): Promise<void> {
      const write = { table, key: self.name, value: { ...self } };
      for (let round = 0; !signal.aborted; round += 1) {
        const id = `${self.name}/${round}`;
        const transaction = { id, checks: [], writes: [write] };
        const settlement = await store.transact(transaction, TIMEOUT);
        if (settlement.kind === "done") return;
        await clock.sleep(AGAIN * (0.5 + Math.random()), signal);
      }
    }

    override takeAll(rows: readonly FeedRow[]): void {
      known.clear();
      rows.forEach(take);
    }

    override takeChanges(
      rows: readonly FeedRow[],
      removed: readonly string[],
    ): void {
      for (const key of removed) known.delete(key);
      rows.forEach(take);
    }

    override peers(): readonly PeerAddress[] {
      return known.size > 0 ? [...known.values()] : seeds;
    }
  })();
}
