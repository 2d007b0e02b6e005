/**
 * Reads the bodies of requests within a memory budget.
 *
 * The bytes of a body are taken from the budget as they arrive. A body of one or
 * two pieces is kept as it came. Further pieces are copied into one buffer of the
 * announced length, or into blocks of a fixed size, because a peer may send pieces
 * of one byte, each of which costs a buffer object. When there is no room,
 * reading pauses, so that the kernel stops the sender; after a short wait the body
 * ends without room. A body of which nothing has arrived for a while ends too; it
 * does so sooner while others wait for room.
 *
 * Short bodies may use the whole budget. All long ones together leave a part of
 * it, and those from one address leave more, unless one body needs it.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { IncomingMessage } from "node:http";
import { freePiece } from "./free_piece.ts";
import type { MemoryBudget } from "./memory_budget.ts";
import type { ReadTurns } from "./read_turns.ts";
import {
  createTinyPieces,
  dropPieces,
  MAX_TINY,
  passTinyPieces,
} from "./tiny_pieces.ts";

export interface HeldBody {
  /** Undefined when the body is empty. */
  readonly bytes: Uint8Array | undefined;
  /** Call this once when nothing refers to the bytes any more. */
  release(): void;
}

export type ReceivedBody =
  | { readonly kind: "complete"; readonly body: HeldBody }
  | { readonly kind: "too long" }
  | { readonly kind: "broken off" }
  /** The budget has no room for the body. */
  | { readonly kind: "no room" }
  /** Bodies in tiny pieces take too much time together. */
  | { readonly kind: "too many pieces" }
  /** Nothing has arrived for too long. */
  | { readonly kind: "stalled" };

export interface BodyReader {
  /** A body that is not complete at the monotonic time `endsAt` has stalled. */
  read(
    request: IncomingMessage,
    maxBytes: Bytes,
    endsAt?: Milliseconds,
  ): Promise<ReceivedBody>;
  /** Discards the rest of a body; resolves at its end, or after some time. */
  discard(request: IncomingMessage, maxBytes: Bytes): Promise<void>;
  /** Bodies that wait for room. */
  waiting(): number;
}

export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly memory: MemoryBudget;
  /** Turns of bodies in tiny pieces. */
  readonly turns: ReadTurns;
  /** Time without a byte after which a body ends; default: none. */
  readonly stallLimit?: () => Milliseconds;
  /** Called when a body ends without room. */
  readonly onShort?: (waiting: number) => void;
}

/** Length of the blocks into which small pieces are joined. */
const BLOCK: Bytes = 64 * 1_024;

/** Longest body that may use the whole budget. */
const MAX_SHORT: Bytes = 64 * 1_024;

/**
 * Tiny pieces after which a body lets others be read. They take about 2 us each,
 * and one read of a connection may have 10,000.
 */
const MAX_TINY_PIECES = 2_000;

/** Size of the objects of a body that is read, apart from its bytes. */
const BODY_OVERHEAD: Bytes = 2 * 1_024;

/** Part of the budget that all long bodies, and those of one address, leave. */
const RESERVE_SHARE = 1 / 8;
const ADDRESS_RESERVE_SHARE = 1 / 4;

/** Time for which a body waits for room before it is refused. */
const MAX_ROOM_WAIT: Milliseconds = 1_000;

/**
 * Bodies that may wait for room. Each holds one piece of up to 64 KiB, and the
 * kernel holds what its sender has written since.
 */
const MAX_WAITING = 8;

/** Stall after which a body ends while others wait for room. */
const STALL_UNDER_PRESSURE: Milliseconds = 1_000;

/** Bytes of a long body that count as progress. */
const MIN_HEADWAY: Bytes = 4 * 1_024;

/** Interval at which bodies are checked for a stall. */
const CHECK_PERIOD: Milliseconds = 500;

/** Time for which the rest of a refused body is read. */
const MAX_DISCARD_TIME: Milliseconds = 1_000;

/** Blocks that are kept for further bodies. */
const MAX_FREE_BLOCKS = 32;

interface Reading {
  /** Infinity while the body waits for room. */
  progressAt: Milliseconds;
  /** True after tiny pieces since the last check, which read no clock. */
  hasTinyProgress: boolean;
  readonly endsAt: Milliseconds;
  readonly isLong: () => boolean;
  readonly end: () => void;
}

/** A short body of an announced length that is read. */
interface ShortState extends Reading {
  pieces: Uint8Array[];
  /** Takes all pieces from the third on. */
  whole: Buffer | undefined;
  size: Bytes;
  isOver: boolean;
  readonly taken: Bytes;
  readonly settle: (received: ReceivedBody) => void;
}

const isNever = () => false;

function addShort(state: ShortState, piece: Uint8Array, length: Bytes): void {
  if (state.whole === undefined && state.pieces.length < 2) {
    state.pieces.push(piece);
    return;
  }
  if (state.whole === undefined) {
    state.whole = Buffer.allocUnsafe(length);
    for (const first of state.pieces) {
      state.whole.set(first, state.size);
      state.size += first.length;
    }
    state.pieces = [];
  }
  state.whole.set(piece, state.size);
  state.size += piece.length;
}

const EMPTY: ReceivedBody = {
  kind: "complete",
  body: { bytes: undefined, release() {} },
};

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

export function createBodyReader(
  { clock, memory, turns, stallLimit = () => Infinity, onShort }:
    BodyReaderOptions,
): BodyReader {
  const readings = new Set<Reading>();
  /** Bytes of long bodies by the address of their senders. */
  const byAddress = new Map<string, Bytes>();
  const freeBlocks: Buffer[] = [];
  const isLimited = memory.limit < Infinity;
  const tiny = createTinyPieces({ clock, isLimited });
  let longBytes: Bytes = 0;
  let waiting = 0;
  let timer: ReturnType<typeof setInterval> | undefined;

  function checkStalls(): void {
    const now = clock.monotonic();
    const limit = waiting > 0
      ? Math.min(STALL_UNDER_PRESSURE, stallLimit())
      : stallLimit();
    for (const reading of readings) {
      if (reading.hasTinyProgress) {
        reading.hasTinyProgress = false;
        reading.progressAt = Math.max(reading.progressAt, now);
      }
      const own = reading.isLong() ? limit : stallLimit();
      const isOver = now >= reading.endsAt || now - reading.progressAt >= own;
      if (isOver) reading.end();
    }
    if (readings.size === 0) {
      clearInterval(timer);
      timer = undefined;
    }
  }

  function addLong(address: string, bytes: Bytes): void {
    longBytes += bytes;
    const sum = (byAddress.get(address) ?? 0) + bytes;
    if (sum > 0) byAddress.set(address, sum);
    else byAddress.delete(address);
  }

  /** True when long bodies may take the bytes beside what others hold. */
  function leavesReserve(address: string, bytes: Bytes, own: Bytes): boolean {
    const { limit } = memory;
    const ofAddress = (byAddress.get(address) ?? 0) + bytes;
    if (ofAddress === own + bytes) return longBytes + bytes <= limit;
    return longBytes + bytes <= limit * (1 - RESERVE_SHARE) &&
      ofAddress <= limit * (1 - ADDRESS_RESERVE_SHARE);
  }

  function takeBlock(): Buffer {
    return freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK);
  }

  function dropBlock(block: Buffer): void {
    if (freeBlocks.length < MAX_FREE_BLOCKS) freeBlocks.push(block);
    else freePiece(block);
    memory.giveBack(BLOCK);
  }

  /** Drops a piece that is copied or discarded. */
  function dropPiece(piece: Uint8Array): void {
    const { length } = piece;
    if (!freePiece(piece)) memory.recordPiece(length);
  }

  /** Reads nothing more of a connection, whose rest would take time. */
  function refuseRest(request: IncomingMessage): void {
    // After a complete body, the connection may be used again.
    if (request.complete) return;
    dropPieces(request);
    turns.stop(request.socket);
  }

  /** Reads a short body whose bytes are taken from the budget already. */
  function readShort(
    request: IncomingMessage,
    length: Bytes,
    endsAt: Milliseconds,
  ): Promise<ReceivedBody> {
    // Written out, because an object literal with spreads took 35 us here.
    return new Promise((resolve) => {
      const state: ShortState = {
        pieces: [],
        whole: undefined,
        size: 0,
        isOver: false,
        progressAt: clock.monotonic(),
        hasTinyProgress: false,
        endsAt,
        isLong: isNever,
        end: () => endShort(state, "stalled"),
        settle: resolve,
        taken: length + BODY_OVERHEAD,
      };
      readings.add(state);
      timer ??= setInterval(checkStalls, CHECK_PERIOD).unref();
      request.on("data", (piece: Uint8Array) => {
        state.progressAt = clock.monotonic();
        if (!state.isOver) addShort(state, piece, length);
      });
      request.on(
        "end",
        () => endShort(state, request.complete ? "complete" : "broken off"),
      );
      request.on("error", () => endShort(state, "broken off"));
      request.on("close", () => endShort(state, "broken off"));
      if (request.destroyed) endShort(state, "broken off");
    });
  }

  function endShort(
    state: ShortState,
    kind: "complete" | "broken off" | "stalled",
  ): void {
    if (state.isOver) return;
    state.isOver = true;
    readings.delete(state);
    const { whole, pieces, taken } = state;
    if (kind !== "complete") {
      memory.giveBack(taken);
      return state.settle({ kind });
    }
    const bytes = whole ??
      (pieces.length === 1 ? pieces[0] : Buffer.concat(pieces));
    let isReleased = false;
    state.settle({
      kind,
      body: {
        bytes,
        release() {
          if (!isReleased) memory.giveBack(taken);
          isReleased = true;
        },
      },
    });
  }

  return {
    read: (request, maxBytes, endsAt = Infinity) => {
      if (!hasBody(request)) return Promise.resolve(EMPTY);
      const length = Number(request.headers["content-length"]);
      if (length <= MAX_SHORT && length <= maxBytes) {
        const bytes = length + BODY_OVERHEAD;
        if (memory.tryTake(bytes)) return readShort(request, length, endsAt);
      }
      return new Promise((resolve) => {
        /** The first pieces, kept as they came. */
        const kept: Uint8Array[] = [];
        const blocks: Buffer[] = [];
        let blockSize = BLOCK;
        /** Buffer of the announced length. */
        let whole: Buffer | undefined;
        let wholeSize: Bytes = 0;
        let headway: Bytes = 0;
        let size: Bytes = 0;
        let taken: Bytes = 0;
        let long: Bytes = 0;
        /** Of a long body. */
        let address: string | undefined;
        let isOver = false;
        let stopWaiting: (() => void) | undefined;
        const pending: Uint8Array[] = [];
        const tinyPieces = tiny.track(() => fail("too many pieces"));

        const reading: Reading = {
          progressAt: clock.monotonic(),
          hasTinyProgress: false,
          endsAt,
          isLong: () => long > 0,
          end: () => fail("stalled"),
        };
        readings.add(reading);
        timer ??= setInterval(checkStalls, CHECK_PERIOD).unref();

        function take(bytes: Bytes): boolean {
          const total = taken + bytes;
          const more = total > MAX_SHORT + BODY_OVERHEAD ? total - long : 0;
          if (more > 0) {
            address ??= request.socket.remoteAddress ?? "";
            if (!leavesReserve(address, more, long)) {
              memory.seekRoom();
              return false;
            }
          }
          if (!memory.tryTake(bytes)) return false;
          taken = total;
          if (more > 0) addLong(address ?? "", more);
          long += more;
          return true;
        }

        /** Allocates the buffer of the whole body, and moves the first pieces. */
        function allocate(length: Bytes): boolean {
          if (!take(length)) return false;
          whole = length > BLOCK
            ? Buffer.allocUnsafeSlow(length)
            : Buffer.allocUnsafe(length);
          const first = kept.splice(0);
          for (const piece of first) fill(piece);
          const moved = wholeSize + first.length * BODY_OVERHEAD;
          giveBack(moved);
          return true;
        }

        function fill(piece: Uint8Array): boolean {
          whole?.set(piece, wholeSize);
          wholeSize += piece.length;
          dropPiece(piece);
          return true;
        }

        function giveBack(bytes: Bytes): void {
          taken -= bytes;
          memory.giveBack(bytes);
          correctLong(bytes);
        }

        function correctLong(bytes: Bytes): void {
          const less = Math.min(bytes, long);
          if (less > 0) addLong(address ?? "", -less);
          long -= less;
        }

        /** Copies a piece into the blocks; false when there is no room. */
        function join(piece: Uint8Array): boolean {
          const free = blocks.length === 0 ? 0 : BLOCK - blockSize;
          if (piece.length <= free) {
            blocks.at(-1)?.set(piece, blockSize);
            blockSize += piece.length;
            dropPiece(piece);
            return true;
          }
          const needed = Math.ceil((piece.length - free) / BLOCK);
          if (!take(needed * BLOCK)) return false;
          for (let at = 0; at < piece.length;) {
            if (blocks.length === 0 || blockSize === BLOCK) {
              blocks.push(takeBlock());
              blockSize = 0;
            }
            const part = piece.subarray(at, at + BLOCK - blockSize);
            blocks.at(-1)?.set(part, blockSize);
            blockSize += part.length;
            at += part.length;
          }
          dropPiece(piece);
          return true;
        }

        function keep(piece: Uint8Array): boolean {
          if (whole !== undefined) return fill(piece);
          if (blocks.length > 0) return join(piece);
          if (kept.length === 2) {
            const length = Number(request.headers["content-length"]);
            if (!(length <= maxBytes)) return join(piece);
            return allocate(length) && fill(piece);
          }
          const isKept = take(piece.length + BODY_OVERHEAD);
          if (isKept) kept.push(piece);
          return isKept;
        }

        function onData(piece: Uint8Array): void {
          size += piece.length;
          headway += piece.length;
          const isTiny = piece.length < MAX_TINY;
          if (headway >= MIN_HEADWAY || size <= MAX_SHORT) {
            headway = 0;
            if (isTiny) reading.hasTinyProgress = true;
            else reading.progressAt = clock.monotonic();
          }
          if (isTiny && tinyPieces.add() % MAX_TINY_PIECES === 0) {
            turns.wait(request.socket);
          }
          if (isOver) return;
          if (size > maxBytes) return fail("too long");
          if (pending.length > 0 || !keep(piece)) wait(piece);
        }

        function wait(piece: Uint8Array): void {
          pending.push(piece);
          if (stopWaiting !== undefined) return;
          if (waiting >= MAX_WAITING) return fail("no room");
          waiting += 1;
          reading.progressAt = Infinity;
          request.pause();
          const expiry = setTimeout(() => fail("no room"), MAX_ROOM_WAIT);
          let stopListening = memory.onRoom(retry);
          stopWaiting = () => {
            waiting -= 1;
            clearTimeout(expiry);
            stopListening();
            stopWaiting = undefined;
          };
          function retry(): void {
            if (isOver) return;
            while (pending[0] !== undefined && keep(pending[0])) {
              pending.shift();
            }
            if (pending.length > 0) {
              stopListening = memory.onRoom(retry);
              return;
            }
            stopWaiting?.();
            reading.progressAt = clock.monotonic();
            request.resume();
          }
        }

        function stop(): void {
          isOver = true;
          readings.delete(reading);
          tinyPieces.end();
          stopPassing();
          stopWaiting?.();
          request.off("data", onData);
          request.off("end", onEnd);
          request.off("error", onBroken);
          request.off("close", onBroken);
        }

        function dropBlocks(): void {
          for (const block of blocks) dropBlock(block);
          const bytes = blocks.length * BLOCK;
          taken -= bytes;
          correctLong(bytes);
          blocks.length = 0;
        }

        function releaseLong(): void {
          if (long > 0) addLong(address ?? "", -long);
          long = 0;
        }

        function fail(
          kind: Exclude<ReceivedBody["kind"], "complete">,
        ): void {
          if (isOver) return;
          if (kind === "no room") onShort?.(waiting);
          stop();
          request.pause();
          if (kind === "too many pieces") refuseRest(request);
          // Errors of the connection are handled as its close.
          request.on("error", () => {});
          dropBlocks();
          kept.length = 0;
          pending.length = 0;
          if (whole === undefined) memory.giveBack(taken);
          else memory.giveBackCollected(whole, taken);
          whole = undefined;
          releaseLong();
          resolve({ kind });
        }

        function onBroken(): void {
          fail("broken off");
        }

        function onEnd(): void {
          if (isOver) return;
          if (!request.complete) return fail("broken off");
          finish();
        }

        function finish(): void {
          if (whole !== undefined) return succeed(whole);
          if (kept.length <= 1 && blocks.length === 0) {
            return succeed(kept[0]);
          }
          if (!take(size)) {
            // The sender has nothing more to send meanwhile.
            stop();
            isOver = false;
            return waitForJoin();
          }
          const lengths = [...kept, ...blocks];
          const last = lengths.at(-1);
          if (blocks.length > 0 && last !== undefined) {
            lengths[lengths.length - 1] = last.subarray(0, blockSize);
          }
          const joined = size > BLOCK
            ? Buffer.allocUnsafeSlow(size)
            : Buffer.allocUnsafe(size);
          let at = 0;
          for (const part of lengths) {
            joined.set(part, at);
            at += part.length;
          }
          dropBlocks();
          for (const piece of kept) {
            const bytes = piece.length + BODY_OVERHEAD;
            if (freePiece(piece)) giveBack(bytes);
          }
          succeed(joined);
        }

        /** Waits for the room of the whole body in one piece. */
        function waitForJoin(): void {
          const { socket } = request;
          const expiry = setTimeout(() => fail("no room"), MAX_ROOM_WAIT);
          const stopListening = memory.onRoom(retry);
          waiting += 1;
          stopWaiting = () => {
            waiting -= 1;
            clearTimeout(expiry);
            stopListening();
            socket.off("close", onBroken);
            stopWaiting = undefined;
          };
          // A request closes at the end of its body, before its connection.
          socket.once("close", onBroken);
          if (socket.destroyed) return fail("broken off");
          function retry(): void {
            if (isOver) return;
            stopWaiting?.();
            finish();
          }
        }

        function succeed(bytes: Uint8Array | undefined): void {
          stop();
          kept.length = 0;
          const own = taken;
          let isReleased = false;
          resolve({
            kind: "complete",
            body: {
              bytes,
              release() {
                if (isReleased) return;
                isReleased = true;
                releaseLong();
                if (bytes === undefined) memory.giveBack(own);
                else memory.giveBackCollected(bytes, own);
              },
            },
          });
        }

        const stopPassing = passTinyPieces(request, onData);
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("error", onBroken);
        request.on("close", onBroken);
        if (request.destroyed) fail("broken off");
      });
    },

    discard: (request, maxBytes) =>
      new Promise((resolve) => {
        if (request.complete || request.destroyed) {
          request.resume();
          return resolve();
        }
        let size: Bytes = 0;
        let tinyPieces = 0;
        const expiry = setTimeout(finish, MAX_DISCARD_TIME);
        const onData = (piece: Uint8Array) => {
          size += piece.length;
          dropPiece(piece);
          if (piece.length < MAX_TINY) tinyPieces += 1;
          if (tinyPieces === MAX_TINY_PIECES) refuseRest(request);
          if (size > maxBytes) finish();
        };
        function finish(): void {
          clearTimeout(expiry);
          request.off("data", onData);
          request.off("end", finish);
          request.off("close", finish);
          if (!request.complete) request.pause();
          resolve();
        }
        request.on("data", onData);
        request.on("end", finish);
        request.on("close", finish);
        request.on("error", () => {});
        request.resume();
      }),

    waiting: () => waiting,
  };
}
