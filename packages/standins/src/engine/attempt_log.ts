/**
 * The attempts that reached an engine, also those that it refused.
 */
import type { Generation } from "@peridotvalve/types";

export interface RecordedAttempt {
  readonly attempt: string;
  readonly request: string;
  readonly customer: string;
  readonly resumedAt: number | null;
  /** Wall-clock time of the arrival. */
  readonly at: number;
}

export interface AttemptLog {
  add(generation: Generation): void;
  list(): readonly RecordedAttempt[];
}

// Bounds the memory of long measurements; the newest attempts are kept.
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
