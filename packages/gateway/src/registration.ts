/**
 * Peer discovery: each daemon writes a row with its addresses and reads the
 * rows of the others.
 */
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import { type FeedRow, isEndpoint, type Platform } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import { z } from "zod";

export interface RegistrationOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: Platform;
  readonly table: string;
  readonly self: PeerAddress;
  readonly seeds: readonly PeerAddress[];
}

/** Addresses of a daemon, as its row has them. */
export interface PeerAddress {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly datagrams: string;
  readonly calls: string;
}

export abstract class Registration {
  /**
   * Writes this daemon's row, with retries until the store has confirmed it, and
   * again after each call of `renew`.
   */
  abstract run(signal: AbortSignal): Promise<void>;
  /** Writes the row again, since the store may have lost it. */
  abstract renew(): void;
  abstract replaceAll(rows: readonly FeedRow[]): void;
  abstract applyChanges(
    rows: readonly FeedRow[],
    removed: readonly string[],
  ): void;
  /** All known daemons including this one; the seeds while none is known. */
  abstract peers(): readonly PeerAddress[];
  abstract find(name: string): PeerAddress | undefined;
  /** Returns true when a known daemon has the host. */
  abstract hasHost(host: string): boolean;
  /** Calls the listener now and after each change with all known daemons. */
  abstract onChange(listener: (peers: readonly PeerAddress[]) => void): void;
}

const NAME = z.string().min(1).max(200);

const ADDRESS = z.object({
  name: NAME,
  zone: NAME,
  host: z.ipv4(),
  datagrams: z.string().refine(isEndpoint, "not an address"),
  calls: z.string().refine(isEndpoint, "not an address"),
});

const WRITE_TIMEOUT: Milliseconds = 1_000;
const RETRY_DELAY: Milliseconds = 700;

/** Spreads the writes of all daemons after the return of the store. */
const RENEWAL_SPREAD: Milliseconds = 1_000;

export function createRegistration(options: RegistrationOptions): Registration {
  const { clock, logger, store, table, self, seeds } = options;
  const known = new Map<string, PeerAddress>();
  const listeners: ((peers: readonly PeerAddress[]) => void)[] = [];
  let listed: readonly PeerAddress[] = seeds;
  let hosts: ReadonlySet<string> = new Set(seeds.map(({ host }) => host));

  function update(): void {
    listed = known.size > 0 ? [...known.values()] : seeds;
    hosts = new Set(listed.map(({ host }) => host));
    for (const listener of listeners) listener(listed);
  }

  function addRow({ key, value }: FeedRow): void {
    const parsed = ADDRESS.safeParse(value);
    if (parsed.success && parsed.data.name === key) {
      known.set(key, parsed.data);
      return;
    }
    known.delete(key);
    logger.log("entry_rejected", { key, reason: "not a daemon entry" });
  }

  async function writeRow(signal: AbortSignal): Promise<void> {
    const write = { table, key: self.name, value: { ...self } };
    for (let round = 0; !signal.aborted; round += 1) {
      const id = `${self.name}/${round}`;
      const transaction = { id, checks: [], writes: [write] };
      const settlement = await store.transact(transaction, WRITE_TIMEOUT);
      if (settlement.kind === "done") return;
      await clock.sleep(RETRY_DELAY * (0.5 + Math.random()), signal);
    }
  }

  let isRenewalDue = false;
  let wake = () => {};

  async function waitForRenewal(signal: AbortSignal): Promise<void> {
    if (!isRenewalDue) {
      await new Promise<void>((resolve) => {
        wake = resolve;
        signal.addEventListener("abort", wake, { once: true });
      });
      signal.removeEventListener("abort", wake);
    }
    isRenewalDue = false;
  }

  return new (class extends Registration {
    override async run(signal: AbortSignal): Promise<void> {
      while (!signal.aborted) {
        await writeRow(signal);
        await waitForRenewal(signal);
        await clock.sleep(RENEWAL_SPREAD * Math.random(), signal);
      }
    }

    override renew(): void {
      isRenewalDue = true;
      wake();
    }

    override replaceAll(rows: readonly FeedRow[]): void {
      known.clear();
      rows.forEach(addRow);
      update();
    }

    override applyChanges(
      rows: readonly FeedRow[],
      removed: readonly string[],
    ): void {
      for (const key of removed) known.delete(key);
      rows.forEach(addRow);
      update();
    }

    override peers(): readonly PeerAddress[] {
      return listed;
    }

    override find(name: string): PeerAddress | undefined {
      return known.get(name) ?? seeds.find((seed) => seed.name === name);
    }

    override hasHost(host: string): boolean {
      return hosts.has(host);
    }

    override onChange(
      listener: (peers: readonly PeerAddress[]) => void,
    ): void {
      listeners.push(listener);
      listener(listed);
    }
  })();
}
