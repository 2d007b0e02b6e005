/**
 * Eras of a store. When a store returns from an older copy, what it had
 * confirmed since is lost, its versions go back and are given out again, and its
 * era rises by one. Versions of different eras are therefore compared with their
 * eras: a version here is a number that holds both.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

/** A store gives out fewer versions than this in one era. */
const VERSIONS_PER_ERA = 2 ** 40;

/** Eras up to this one fit into a number without loss. */
export const MAX_ERA = 2 ** 12;

/** Combines an era with a version that the store gave out in it. */
export function toVersion(era: number, counter: number): number {
  return era * VERSIONS_PER_ERA + counter;
}

export function eraOf(version: number): number {
  return Math.floor(version / VERSIONS_PER_ERA);
}

/** The version as the store gave it out. */
export function counterOf(version: number): number {
  return version % VERSIONS_PER_ERA;
}

export interface StoreEra {
  /** The newest era that the store has named; 0 before its first answer. */
  current(): number;
  /** Takes the era of an answer of the store; returns false for an older one. */
  record(era: number): boolean;
  /** Takes the era that another process has read from the store. */
  hear(era: number): void;
  /**
   * Time since this process has known that the store is in its present era; 0
   * before the first answer. What another process wrote in an earlier era may be
   * lost.
   */
  age(): Milliseconds;
  /**
   * Calls the listener each time that the store has returned from a copy, as its
   * answers or another process say.
   */
  onReturn(listener: (era: number) => void): void;
}

export function createStoreEra(clock: Clock): StoreEra {
  const listeners: ((era: number) => void)[] = [];
  let known: { readonly era: number; readonly since: Milliseconds } | undefined;
  /**
   * The newest era that others have named before the first own answer. What this
   * process has taken from them may be of that era.
   */
  let heard: number | undefined;
  /** The newest era of which the listeners know. */
  let told = 0;

  function tell(era: number): void {
    if (era <= told) return;
    told = era;
    for (const listener of listeners) listener(era);
  }

  return {
    current: () => known?.era ?? 0,
    record(era) {
      if (known !== undefined && era <= known.era) return era === known.era;
      const isReturn = known !== undefined ||
        (heard !== undefined && era > heard);
      known = { era, since: clock.monotonic() };
      if (isReturn) tell(era);
      else told = Math.max(told, era);
      return true;
    },
    hear(era) {
      if (known !== undefined) {
        if (era > known.era) tell(era);
        return;
      }
      const isReturn = heard !== undefined && era > heard;
      heard = Math.max(heard ?? era, era);
      if (isReturn) tell(era);
    },
    age: () => known === undefined ? 0 : clock.monotonic() - known.since,
    onReturn(listener) {
      listeners.push(listener);
    },
  };
}
