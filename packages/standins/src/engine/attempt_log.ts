/**
 * A log of all attempts that reached an engine, including those that it
 * refused.
 */
import type { Generation } from "@peridotvalve/types";

export interface RecordedAttempt {
  readonly attempt: string;
  readonly request: string;
  readonly customer: string;
  /**
   * Token offset at which it resumes an earlier attempt; null if it does not.
   */
  readonly resumedAt: number | null;
  /** Arrival in milliseconds since the epoch. */
  readonly at: number;
}

export interface AttemptLog {
  add(generation: Generation): void;
  list(): readonly RecordedAttempt[];
}

// Bounds memory use in long measurements. The newest attempts are kept.
const CAPACITY = 100_000;

export function createAttemptLog(): AttemptLog {
  let attempts: RecordedAttempt[] = [];
  return {
    add({ attempt, request, customer, resume }) {
      const resumedAt = resume?.offset ?? null;
      attempts.push({ attempt, request, customer, resumedAt, at: Date.now() });
      if (attempts.length > 2 * CAPACITY) attempts = attempts.slice(-CAPACITY);
    },
    list: () => attempts,
  };
}
