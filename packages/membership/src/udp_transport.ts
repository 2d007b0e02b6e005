/**
 * UDP transport of datagrams. The same socket sends and receives, so that the
 * source address of a datagram is the address on which its sender listens.
 */
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import { once } from "node:events";
import { isIPv6 } from "node:net";
import { performance } from "node:perf_hooks";
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import { Err, Ok, type Result } from "ts-results-es";
import { createReceiveDelay, TICK_PERIOD } from "./receive_delay.ts";
import { createInbox, type Packet, Transport } from "./transport.ts";

export interface UdpOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Clock for the waits of datagrams; one that counts suspensions sees them. */
  readonly clock?: Pick<Clock, "monotonic">;
}

/** Binds a socket. The error is the message of the failed bind. */
export async function createUdpTransport(
  options: UdpOptions,
): Promise<Result<Transport, string>> {
  const socket = createSocket(isIPv6(options.host) ? "udp6" : "udp4");
  try {
    socket.bind(options.port, options.host);
    await once(socket, "listening");
  } catch (error) {
    return Err(String(error));
  }
  return Ok(wrapSocket(socket, options.clock ?? createSystemClock()));
}

function wrapSocket(
  socket: Socket,
  clock: Pick<Clock, "monotonic">,
): Transport {
  const inbox = createInbox();
  const local = socket.address();
  let closed = false;
  const delay = createReceiveDelay({
    clock,
    countTurns: () => performance.nodeTiming.uvMetricsInfo.loopCount,
  });
  const ticks = setInterval(() => delay.tick(), TICK_PERIOD);
  ticks.unref();
  socket.on("message", (bytes, remote) => {
    const waited = delay.record();
    inbox.put({ from: formatAddress(remote), bytes, waited });
  });
  // A socket error, such as a refused or unreachable receiver, means a lost
  // datagram.
  socket.on("error", () => {});

  return new (class extends Transport {
    override address(): string {
      return formatAddress(local);
    }

    override send(to: string, bytes: Uint8Array): void {
      const split = to.lastIndexOf(":");
      const host = to.slice(0, split).replace(/^\[(.*)\]$/, "$1");
      const port = Number(to.slice(split + 1));
      // The settings or the VM list can contain an invalid address.
      const usable = Number.isInteger(port) && port > 0 && port < 65_536;
      if (closed || !usable) return;
      socket.send(bytes, port, host, () => {});
    }

    override receive(signal: AbortSignal): AsyncGenerator<Packet> {
      return inbox.take(signal);
    }

    override async close(): Promise<void> {
      if (closed) return;
      closed = true;
      clearInterval(ticks);
      await new Promise<void>((resolve) => socket.close(() => resolve()));
    }
  })();
}

function formatAddress(
  { address, port }: Pick<RemoteInfo, "address" | "port">,
): string {
  return isIPv6(address) ? `[${address}]:${port}` : `${address}:${port}`;
}
