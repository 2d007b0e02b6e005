/**
 * The transport of datagrams. Datagrams can be lost, duplicated, reordered and
 * delayed.
 */
import type { Milliseconds } from "@peridotvalve/types";

export interface Packet {
  /** Address of the sender, as `host:port`. */
  readonly from: string;
  readonly bytes: Uint8Array;
  /** The most that it can have waited here before it was read; 0 by default. */
  readonly waited?: Milliseconds;
}

export abstract class Transport {
  /** Address at which peers can reach this transport, as `host:port`. */
  abstract address(): string;

  /** Sends a datagram; does not report whether it arrives. */
  abstract send(to: string, bytes: Uint8Array): void;

  /** Yields received datagrams until the signal is aborted; single consumer. */
  abstract receive(signal: AbortSignal): AsyncGenerator<Packet>;

  abstract close(): Promise<void>;
}

/** A bounded queue of received packets that drops the oldest when full. */
export interface Inbox {
  put(packet: Packet): void;
  take(signal: AbortSignal): AsyncGenerator<Packet>;
}

/** Several rounds of heartbeats of 45 peers. */
const INBOX_CAPACITY = 512;

export function createInbox(): Inbox {
  const packets: Packet[] = [];
  let wake = () => {};

  async function* take(signal: AbortSignal): AsyncGenerator<Packet> {
    const stop = () => wake();
    signal.addEventListener("abort", stop);
    while (!signal.aborted) {
      const packet = packets.shift();
      if (packet !== undefined) yield packet;
      else await new Promise<void>((resolve) => wake = resolve);
    }
    signal.removeEventListener("abort", stop);
  }

  return {
    take,
    put(packet) {
      if (packets.length >= INBOX_CAPACITY) packets.shift();
      packets.push(packet);
      wake();
    },
  };
}
