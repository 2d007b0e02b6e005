/**
 * Reads tiny pieces of bodies with less work, and bounds the processor time that
 * bodies in tiny pieces take together.
 *
 * A chunk of one byte is 6 bytes on the wire and a call of the HTTP parser with a
 * buffer object, so one read of a connection may take tens of milliseconds. While
 * such bodies take most of the time of the process, only the one that began first
 * is read on; the others are refused. One body alone is never refused.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { IncomingMessage } from "node:http";

export interface TinyPieces {
  /** Counts the tiny pieces of a body; `refuse` is called at most once. */
  track(refuse: () => void): TinyPieceCount;
}

export interface TinyPieceCount {
  /** Counts one piece; returns the pieces of the body until now. */
  add(): number;
  /** Call this when the body is not read any more. */
  end(): void;
}

/** Length below which a piece costs more time than its bytes. */
export const MAX_TINY: Bytes = 512;

/** Share of the time of the process that bodies in tiny pieces may take. */
const TIME_SHARE = 0.5;

/** Time beyond that share from which bodies are refused. */
const MAX_EXCESS: Milliseconds = 500;

/** Pieces between two readings of the clock. */
const BATCH = 256;

/**
 * Pieces below which a body is not refused: it takes a few milliseconds. An
 * ordinary body in chunks has some short pieces.
 */
const MIN_REFUSED = 2_048;

/** Time without a batch after which a body does not count as read. */
const ACTIVE_TIME: Milliseconds = 1_000;

interface Tracked {
  readonly refuse: () => void;
  batchAt: Milliseconds;
  /** Turn of the event loop of the last batch. */
  batchTurn: number;
  isOver: boolean;
}

export interface TinyPiecesOptions {
  readonly clock: Clock;
  /** False when no body is to be refused. */
  readonly isLimited: boolean;
}

export function createTinyPieces(
  { clock, isLimited }: TinyPiecesOptions,
): TinyPieces {
  /** Bodies of at least `MIN_REFUSED` pieces, in the order of their beginning. */
  const tracked = new Set<Tracked>();
  let turn = 0;
  let isTurnCounted = false;
  let excess: Milliseconds = 0;
  let excessAt: Milliseconds = 0;

  function countTurn(): void {
    if (isTurnCounted) return;
    isTurnCounted = true;
    setImmediate(() => {
      turn += 1;
      isTurnCounted = false;
    });
  }

  function endBatch(body: Tracked, pieces: number): void {
    const now = clock.monotonic();
    // Between two turns, other work may have taken the time.
    const taken = body.batchTurn === turn ? now - body.batchAt : 0;
    const allowed = (now - excessAt) * TIME_SHARE;
    excess = Math.min(Math.max(0, excess - allowed) + taken, 2 * MAX_EXCESS);
    excessAt = now;
    body.batchAt = now;
    body.batchTurn = turn;
    countTurn();
    if (pieces >= MIN_REFUSED) tracked.add(body);
    if (isLimited && excess > MAX_EXCESS) refuseOthers(now);
  }

  function endTracking(body: Tracked): void {
    body.isOver = true;
    tracked.delete(body);
  }

  /** Refuses all bodies that are read but the one that began first. */
  function refuseOthers(now: Milliseconds): void {
    const [, ...others] = [...tracked].filter(({ batchAt }) =>
      now - batchAt < ACTIVE_TIME
    );
    for (const other of others) {
      endTracking(other);
      other.refuse();
    }
  }

  return {
    track(refuse) {
      const body: Tracked = {
        ...{ refuse, batchAt: 0, batchTurn: -1, isOver: false },
      };
      let pieces = 0;
      return {
        add() {
          pieces += 1;
          if (pieces % BATCH === 0 && !body.isOver) endBatch(body, pieces);
          return pieces;
        },
        end: () => endTracking(body),
      };
    },
  };
}

/**
 * Passes the tiny pieces of a body that is read on to a function directly, as
 * long as the request flows. A stream takes another 2 us for each of them, mostly
 * for a callback in the next tick. The request emits no `data` for them, so
 * nothing is changed when there are other listeners. Returns a function that ends
 * this.
 */
export function passTinyPieces(
  request: IncomingMessage,
  onPiece: (piece: Uint8Array) => void,
): () => void {
  if (request.listenerCount("data") > 0) return () => {};
  const { push } = request;
  request.push = (piece: Uint8Array | null, encoding) => {
    const isDirect = piece !== null && piece.length < MAX_TINY &&
      request.readableFlowing === true && request.readableLength === 0;
    if (!isDirect) return push.call(request, piece, encoding);
    onPiece(piece);
    return true;
  };
  return () => request.push = push;
}

/** Drops all further pieces of a body. */
export function dropPieces(request: IncomingMessage): void {
  const { push } = request;
  request.push = (piece: Uint8Array | null, encoding) =>
    piece !== null || push.call(request, piece, encoding);
}
