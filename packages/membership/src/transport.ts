/**
 * How datagrams travel. Datagrams can be lost, duplicated, reordered and
 * delayed.
 */
export interface Packet {
  readonly from: string;
  readonly bytes: Uint8Array;
}

export abstract class Transport {
  /** Address at which peers reach this transport, as `host:port`. */
  abstract address(): string;

  /** Hands a datagram over; whether it arrives is not known. */
  abstract send(to: string, bytes: Uint8Array): void;

  /** Arriving datagrams until the signal aborts. One reader at a time. */
  abstract receive(signal: AbortSignal): AsyncGenerator<Packet>;

  abstract close(): Promise<void>;
}

export interface Inbox {
  put(packet: Packet): void;
  take(signal: AbortSignal): AsyncGenerator<Packet>;
}

/** Heartbeats of several rounds of 45 peers; what is over it is dropped. */
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
