/**
 * The limits of what peers may make a daemon hold: memory for bodies and
 * responses, and open connections. Both follow from the limits of the machine;
 * without those, nothing is limited here.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type BodyReader,
  type ByteBudget,
  createBodyReader,
  createByteBudget,
  createMemoryBudget,
  createReadTurns,
  type MemoryBudget,
  relieveMemory,
  type ServerConnections,
  trackServerConnections,
} from "@peridotvalve/connections";
import type { EventLogger } from "@peridotvalve/events";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { MAX_BUFFERED_TOGETHER } from "./response_forwarding.ts";

export interface IntakeLimits {
  /** Memory of the machine. */
  readonly memory: Bytes;
  /** Share of the memory beyond that of an idle daemon. */
  readonly memoryShare: number;
  /** Descriptors that the process may open. */
  readonly descriptors: number;
  /** Time without a byte after which a body is refused. */
  readonly bodyStall: Milliseconds;
  /** Requests that one connection may send before their responses. */
  readonly pipelined: number;
}

export type ListenerName =
  | "callers"
  | "neighbors"
  | "peers"
  | "ready"
  | "metrics";

/** Values for the metrics. */
export interface IntakeReadings {
  readonly held: Bytes;
  readonly heldLimit: Bytes;
  readonly waiting: number;
  /** Open connections by listener. */
  readonly connections: ReadonlyMap<string, number>;
  /** Connections closed for a limit, by listener and reason. */
  readonly closed: ReadonlyMap<string, number>;
}

export interface Intake {
  readonly memory: MemoryBudget;
  readonly bodies: BodyReader;
  /** The part of the memory for buffered plain responses. */
  readonly responses: ByteBudget;
  /**
   * For long answers of peers, and of the store. Each has a budget of its own,
   * so that callers cannot keep out what the daemon needs to decide.
   */
  readonly peers: ByteBudget;
  readonly store: ByteBudget;
  /** False without limits of the machine. */
  readonly isLimited: boolean;
  /** Tracks and bounds the connections of a server. */
  track(server: Server, listener: ListenerName): ServerConnections;
  /**
   * Closes a connection that owes too many responses, and reads the others in
   * turns; returns true when it has done so.
   */
  closePipelined(socket: Socket, listener: ListenerName): boolean;
  readings(): IntakeReadings;
}

/** Resident memory of an idle daemon. */
const IDLE_MEMORY: Bytes = 88_000_000;

/** Less would not hold one body of 4 MiB while it is joined. */
const MIN_BUDGET: Bytes = 12_000_000;

/** Long answers of peers or of the store together; each has at most 8 MiB. */
const MAX_ANSWERS: Bytes = 16 * 1_024 * 1_024;

/** Descriptors for files and the runtime. */
const FILE_DESCRIPTORS = 200;

/** Fewer would not serve the probes of the platform. */
const MIN_CONNECTIONS = 16;

/**
 * Shares of the other descriptors. A quarter is left for connections to
 * replicas, peers and the store.
 */
const SHARES: Readonly<Record<ListenerName, number>> = {
  callers: 1 / 2,
  neighbors: 1 / 8,
  peers: 1 / 16,
  ready: 1 / 32,
  metrics: 1 / 32,
};

/** Interval at which a server looks for heads that arrive too slowly. */
export const HEAD_CHECK_PERIOD: Milliseconds = 1_000;

/** Time that a head may take until a desired state says so. */
const DEFAULT_HEAD_TIMEOUT: Milliseconds = 10_000;

export function createIntake({ clock, logger, limits }: {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly limits?: IntakeLimits | undefined;
}): Intake {
  const memory = createMemoryBudget({
    clock,
    ...(limits === undefined ? {} : { limit: budgetOf(limits) }),
  });
  const turns = createReadTurns();
  const bodies = createBodyReader({
    ...{ clock, memory, turns },
    stallLimit: () => limits?.bodyStall ?? Infinity,
    onShort: (waiting) => {
      const { limit } = memory;
      logger.log("memory_short", { held: memory.taken(), limit, waiting });
    },
  });
  if (limits !== undefined) {
    relieveMemory(memory, limits.memory);
  }
  const tracked = new Map<ListenerName, ServerConnections>();
  const closed = new Map<string, number>();

  function recordClosed(listener: ListenerName, reason: string): void {
    const key = `${listener} ${reason}`;
    closed.set(key, (closed.get(key) ?? 0) + 1);
    const open = tracked.get(listener)?.open() ?? 0;
    logger.log("connection_closed", { listener, reason, open });
  }

  return {
    memory,
    bodies,
    responses: createByteBudget(MAX_BUFFERED_TOGETHER, memory),
    peers: createByteBudget(MAX_ANSWERS),
    store: createByteBudget(MAX_ANSWERS),
    isLimited: limits !== undefined,
    closePipelined(socket, listener) {
      const connections = tracked.get(listener);
      if (limits === undefined || connections === undefined) return false;
      if (connections.owed(socket) <= limits.pipelined) return false;
      recordClosed(listener, "pipelined");
      socket.destroy();
      for (const other of connections.sockets()) turns.wait(other);
      return true;
    },
    track(server, listener) {
      if (limits === undefined) return trackServerConnections(server);
      const usable = limits.descriptors - FILE_DESCRIPTORS;
      const share = Math.floor(usable * SHARES[listener]);
      const connections = trackServerConnections(server, {
        max: Math.max(MIN_CONNECTIONS, share),
        onClosed: (reason) => recordClosed(listener, reason),
      });
      if (listener !== "callers") server.headersTimeout = DEFAULT_HEAD_TIMEOUT;
      tracked.set(listener, connections);
      return connections;
    },
    readings: () => ({
      held: memory.taken(),
      heldLimit: memory.limit,
      waiting: bodies.waiting(),
      connections: new Map(
        [...tracked].map(([name, connections]) => [name, connections.open()]),
      ),
      closed,
    }),
  };
}

/** Bytes that bodies and responses may hold together. */
function budgetOf({ memory, memoryShare }: IntakeLimits): Bytes {
  return Math.max(MIN_BUDGET, (memory - IDLE_MEMORY) * memoryShare);
}
