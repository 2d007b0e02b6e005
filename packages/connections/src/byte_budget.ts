/**
 * Bytes that several users of memory may hold together. Limits of single
 * requests and responses do not bound the memory of a process when many peers
 * send long ones at once.
 */
import type { Bytes } from "@peridotvalve/types";

export interface ByteBudget {
  /** Returns false, and takes nothing, when fewer bytes are left. */
  tryTake(bytes: Bytes): boolean;
  giveBack(bytes: Bytes): void;
}

/**
 * Creates a budget. What is taken from one with a parent is taken from the
 * parent as well.
 */
export function createByteBudget(
  limit: Bytes,
  parent?: ByteBudget,
): ByteBudget {
  let taken: Bytes = 0;

  return {
    tryTake(bytes) {
      if (taken + bytes > limit) return false;
      if (parent?.tryTake(bytes) === false) return false;
      taken += bytes;
      return true;
    },
    giveBack(bytes) {
      taken -= bytes;
      parent?.giveBack(bytes);
    },
  };
}
