/**
 * Bytes that several responses may hold together. Limits of single responses do
 * not bound the memory of a process when many peers send long ones at once.
 */
import type { Bytes } from "@peridotvalve/types";

export interface ByteBudget {
  /** Returns false, and takes nothing, when fewer bytes are left. */
  tryTake(bytes: Bytes): boolean;
  giveBack(bytes: Bytes): void;
}

export function createByteBudget(limit: Bytes): ByteBudget {
  let taken: Bytes = 0;

  return {
    tryTake(bytes) {
      if (taken + bytes > limit) return false;
      taken += bytes;
      return true;
    },
    giveBack(bytes) {
      taken -= bytes;
    },
  };
}
