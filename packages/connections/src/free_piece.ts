/**
 * Frees the memory of a received piece at once. Pieces that were copied or are
 * discarded would otherwise stay until V8 collects garbage, and the collections
 * that keep them within their bound cost more processor time than the copies.
 */
import { MessageChannel } from "node:worker_threads";

/** Freeing takes about 3 us, which pieces below this length are not worth. */
const MIN_FREED = 4 * 1_024;

// A message to a closed port takes the buffers that it transfers with it.
const { port1: closedPort } = new MessageChannel();
closedPort.close();

/**
 * Returns false, and does nothing, when the piece is short or a part of a larger
 * buffer. A freed piece has no bytes left; nothing else may refer to it.
 */
export function freePiece(piece: Uint8Array): boolean {
  const { buffer, length } = piece;
  if (length < MIN_FREED || buffer.byteLength !== length) return false;
  closedPort.postMessage(undefined, [buffer as ArrayBuffer]);
  return true;
}
