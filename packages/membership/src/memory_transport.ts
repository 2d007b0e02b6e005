/**
 * An in-memory network for tests, with partitions, loss, duplicates and delays
 * that are reproducible from a seed.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { createInbox, type Inbox, Transport } from "./transport.ts";

const RANDOM_STEPS = 1_000_000;

export interface NetworkFaults {
  /** Fraction of datagrams that are lost, in 0..1. */
  readonly loss?: number;
  /** Fraction of datagrams that are delivered twice, in 0..1. */
  readonly duplicates?: number;
  /** Maximum delay; it varies per datagram, so datagrams are reordered. */
  readonly delay?: Milliseconds;
  /** True when no datagram passes from one address to the other. */
  readonly isCut?: (from: string, to: string) => boolean;
}

export abstract class MemoryNetwork {
  /** Creates a transport at the address and replaces an earlier one there. */
  abstract attach(address: string): Transport;
  abstract setFaults(faults: NetworkFaults): void;
}

export function createMemoryNetwork(clock: Clock, seed = 1): MemoryNetwork {
  const random = xoroshiro128plus(seed);
  const inboxes = new Map<string, Inbox>();
  let faults: NetworkFaults = {};

  function draw(): number {
    return uniformInt(random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  }

  async function deliver(from: string, to: string, bytes: Uint8Array) {
    const delay = draw() * (faults.delay ?? 0);
    if (delay > 0) await clock.sleep(delay);
    if (faults.isCut?.(from, to)) return;
    inboxes.get(to)?.put({ from, bytes });
  }

  function send(from: string, to: string, bytes: Uint8Array): void {
    if (faults.isCut?.(from, to)) return;
    if (draw() < (faults.loss ?? 0)) return;
    void deliver(from, to, bytes);
    if (draw() < (faults.duplicates ?? 0)) void deliver(from, to, bytes);
  }

  return new (class extends MemoryNetwork {
    override attach(address: string): Transport {
      const inbox = createInbox();
      inboxes.set(address, inbox);
      return createMemoryTransport(address, {
        inbox,
        send: (to, bytes) => send(address, to, bytes),
        detach: () => {
          if (inboxes.get(address) === inbox) inboxes.delete(address);
        },
      });
    }

    override setFaults(next: NetworkFaults): void {
      faults = next;
    }
  })();
}

function createMemoryTransport(address: string, port: {
  readonly inbox: Inbox;
  readonly send: (to: string, bytes: Uint8Array) => void;
  readonly detach: () => void;
}): Transport {
  return new (class extends Transport {
    override address(): string {
      return address;
    }

    override send(to: string, bytes: Uint8Array): void {
      port.send(to, bytes);
    }

    override receive(signal: AbortSignal) {
      return port.inbox.take(signal);
    }

    override close(): Promise<void> {
      port.detach();
      return Promise.resolve();
    }
  })();
}
