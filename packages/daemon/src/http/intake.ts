/**
 * The limits of what peers may make a daemon hold: memory for bodies, and open
 * connections. Both follow from what the VM has.
 */
import { getHeapStatistics } from "node:v8";
import type { Server } from "node:http";
import type { Clock } from "@peridotvalve/clock";
import {
  type BodyReader,
  createBodyReader,
  createMemoryBudget,
  createReadTurns,
  type MemoryBudget,
  relieveMemory,
  type ServerConnections,
  trackServerConnections,
} from "@peridotvalve/connections";
import type { Failure } from "@peridotvalve/errors";
import type { EventLogger } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { createBusyFailure } from "./busy.ts";
import type { VmLimits } from "./vm.ts";

export type ListenerName = "callers" | "peers" | "operators";

export interface Intake {
  readonly memory: MemoryBudget;
  readonly bodies: BodyReader;
  /**
   * Takes the memory that the work on a request needs beside its body; waits for
   * it for a short time, and returns the refusal of the request then.
   */
  takeForWork(bytes: Bytes): Promise<Result<{ release(): void }, Failure>>;
  /** Tracks and bounds the connections of a server. */
  track(server: Server, listener: ListenerName): ServerConnections;
  close(): void;
}

/** Resident memory of an idle daemon. */
const IDLE_MEMORY: Bytes = 135_000_000;

/**
 * Share of the other memory, and of the heap, that bodies may have. The rest is
 * for garbage, the kernel's receive queues and the work on the requests.
 */
const MEMORY_SHARE = 0.3;
const HEAP_SHARE = 0.3;

/** Room of a chat request of 4 MiB, which counts six times. */
const MIN_BUDGET: Bytes = 32_000_000;

/** Descriptors for files and the runtime. */
const FILE_DESCRIPTORS = 60;

/**
 * Shares of the other descriptors. A quarter is left for connections to
 * upstreams, peers and the platform.
 */
const SHARES: Readonly<Record<ListenerName, number>> = {
  callers: 1 / 2,
  peers: 1 / 8,
  operators: 1 / 8,
};

/** Fewer would not serve the probes of a balancer. */
const MIN_CONNECTIONS = 16;

/**
 * Time without a byte after which a body ends while a listener has no
 * connection left.
 */
const STALL_WHEN_FULL: Milliseconds = 2_000;

/**
 * Time for which a request waits for the memory of its work. The bodies of earlier
 * requests count until they have been collected.
 */
const MAX_ROOM_WAIT: Milliseconds = 1_000;

/** Work above this size leaves a part of the memory to shorter requests. */
const MAX_SHORT: Bytes = 256 * 1_024;
const RESERVE_SHARE = 1 / 8;

export function createIntake({ clock, log, vm }: {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly vm: VmLimits;
}): Intake {
  const memory = createMemoryBudget({ clock, limit: budgetOf(vm) });
  const full = new Set<() => boolean>();
  const isFull = () => [...full].some((check) => check());
  const stopRelief = relieveMemory(memory, vm.memory);

  return {
    memory,
    bodies: createBodyReader({
      ...{ clock, memory, turns: createReadTurns() },
      stallLimit: () => isFull() ? STALL_WHEN_FULL : Infinity,
      onShort: (waiting) => {
        const { limit } = memory;
        log("memory_short", { held: memory.taken(), limit, waiting });
      },
    }),
    async takeForWork(bytes) {
      const reserve = bytes > MAX_SHORT ? memory.limit * RESERVE_SHARE : 0;
      const hasRoom = () => memory.taken() + bytes <= memory.limit - reserve;
      const endsAt = clock.monotonic() + MAX_ROOM_WAIT;
      while (!hasRoom() || !memory.tryTake(bytes)) {
        const left = endsAt - clock.monotonic();
        if (left <= 0) return Err(createBusyFailure());
        memory.seekRoom();
        await waitForRoom(memory, left);
      }
      return Ok({ release: () => memory.giveBack(bytes) });
    },
    track(server, listener) {
      const usable = vm.descriptors - FILE_DESCRIPTORS;
      const share = Math.floor(usable * SHARES[listener]);
      const max = Math.max(MIN_CONNECTIONS, share);
      const connections = trackServerConnections(server, {
        max,
        onClosed: (reason) => {
          const open = connections.open();
          log("connection_closed", { listener, reason, open });
        },
      });
      full.add(() => connections.open() >= max);
      return connections;
    },
    close: stopRelief,
  };
}

/** Resolves when bytes have been given back, or after the time. */
function waitForRoom(memory: MemoryBudget, time: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(end, time);
    const stopListening = memory.onRoom(end);
    function end(): void {
      clearTimeout(timer);
      stopListening();
      resolve();
    }
  });
}

/** Bytes that bodies may hold together. */
function budgetOf({ memory }: VmLimits): Bytes {
  const heap = getHeapStatistics().heap_size_limit;
  return Math.max(
    MIN_BUDGET,
    Math.min((memory - IDLE_MEMORY) * MEMORY_SHARE, heap * HEAP_SHARE),
  );
}
