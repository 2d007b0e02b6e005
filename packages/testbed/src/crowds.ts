/**
 * Crowds of connections that a test opens to a daemon, and the memory and the
 * descriptors of the daemon meanwhile.
 */
import { readdirSync, readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { Process } from "./processes.ts";

export interface CrowdOptions {
  /** IP address and port. */
  readonly address: string;
  readonly size: number;
  /** Acts on each connection once it is open; `at` counts them from 0. */
  readonly act: (socket: Socket, at: number) => void;
}

export interface Crowd {
  readonly sockets: readonly Socket[];
  /** Text that each connection has received. */
  received(): readonly string[];
  /** Resolves when nothing is written any more, or after a while. */
  settle(): Promise<void>;
  close(): void;
}

/** Memory and open descriptors of a process. */
export interface Usage {
  readonly memory: Bytes;
  readonly descriptors: number;
}

export interface UsageWatch {
  peak(): Usage;
  stop(): void;
}

const SAMPLE_PERIOD: Milliseconds = 25;
const QUIET_TIME: Milliseconds = 600;
const MAX_SETTLE_TIME: Milliseconds = 12_000;

const KIBIBYTE: Bytes = 1_024;

/** Opens connections that stay open until the daemon closes them. */
export function openCrowd({ address, size, act }: CrowdOptions): Crowd {
  const [ip = "", port] = address.split(":");
  const texts = Array.from({ length: size }, () => "");
  const sockets = texts.map((_, at) => {
    const socket = connect(Number(port), ip);
    socket.on("error", () => {});
    socket.on("data", (piece) => {
      texts[at] += piece.toString("utf8");
    });
    socket.setNoDelay(true);
    socket.once("connect", () => act(socket, at));
    return socket;
  });
  return {
    sockets,
    received: () => texts,
    settle: () => settle(sockets),
    close() {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Writes a piece several times, as far as the daemon reads. */
export async function writeRepeatedly(
  socket: Socket,
  piece: Buffer,
  times: number,
): Promise<void> {
  for (let at = 0; at < times && socket.writable; at += 1) {
    if (socket.write(piece)) continue;
    await new Promise<void>((resolve) => {
      const done = () => {
        socket.off("drain", done);
        socket.off("close", done);
        resolve();
      };
      socket.once("drain", done);
      socket.once("close", done);
    });
  }
}

async function settle(sockets: readonly Socket[]): Promise<void> {
  const end = Date.now() + MAX_SETTLE_TIME;
  let written = -1;
  let changedAt = Date.now();
  while (Date.now() < end && Date.now() - changedAt < QUIET_TIME) {
    await sleep(SAMPLE_PERIOD);
    const now = sockets.reduce(
      (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
      0,
    );
    if (now === written) continue;
    written = now;
    changedAt = Date.now();
  }
}

/** Resident memory, and what the kernel holds for it to read at the address. */
export function measureUsage({ pid }: Process, address: string): Usage {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const resident = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? NaN);
  return {
    memory: resident * KIBIBYTE + readReceiveQueues(address),
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}

/** Bytes that the kernel holds for accepted connections of the address. */
function readReceiveQueues(address: string): Bytes {
  const [ip = "", port] = address.split(":");
  const toHex = (value: number, digits: number) =>
    value.toString(16).padStart(digits, "0").toUpperCase();
  const reversed = ip.split(".").reverse().map((one) => toHex(Number(one), 2));
  const local = `${reversed.join("")}:${toHex(Number(port), 4)}`;
  const lines = readFileSync("/proc/net/tcp", "utf8").split("\n");
  return lines.reduce((sum, line) => {
    const [, own, , state, queues = ""] = line.trim().split(/\s+/);
    if (own !== local || state === "0A") return sum;
    return sum + parseInt(queues.split(":")[1] ?? "0", 16);
  }, 0);
}

/** Measures a process until it is stopped. */
export function watchUsage(process: Process, address: string): UsageWatch {
  let peak: Usage = { memory: 0, descriptors: 0 };
  function sample(): void {
    if (!process.isRunning()) return;
    try {
      const now = measureUsage(process, address);
      peak = {
        memory: Math.max(peak.memory, now.memory),
        descriptors: Math.max(peak.descriptors, now.descriptors),
      };
    } catch {
      // The process has ended, which `isRunning` shows soon.
    }
  }
  const timer = setInterval(sample, SAMPLE_PERIOD);
  return { peak: () => peak, stop: () => clearInterval(timer) };
}
