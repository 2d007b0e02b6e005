/**
 * Collects garbage while a process has much of the memory of its VM. V8 would
 * let the heap grow to its limit first, which is most of a small VM.
 */
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { MemoryBudget } from "./memory_budget.ts";

/** Share of the VM's memory from which garbage is collected. */
const RELIEF_SHARE = 0.75;

/** Growth since the last collection that calls for another one. */
const MIN_GROWTH: Bytes = 5_000_000;

/**
 * Intervals at which the memory is looked at, well below the bound and near it.
 * Each look is a system call and wakes an idle process.
 */
const CALM_CHECK_PERIOD: Milliseconds = 250;
const RELIEF_CHECK_PERIOD: Milliseconds = 50;

/** Part of the bound from which it is near. */
const NEAR_SHARE = 0.8;

/**
 * Collects above a share of the VM's memory, each time that the process has
 * grown. Returns a function that ends this.
 */
export function relieveMemory(memory: MemoryBudget, total: Bytes): () => void {
  const bound = total * RELIEF_SHARE;
  let lowest = 0;
  let timer: ReturnType<typeof setTimeout> | undefined;
  function check(): void {
    const resident = process.memoryUsage.rss();
    lowest = Math.min(lowest, resident);
    if (resident >= bound && resident >= lowest + MIN_GROWTH) {
      memory.collect();
      lowest = process.memoryUsage.rss();
    }
    const isNear = resident >= bound * NEAR_SHARE;
    const period = isNear ? RELIEF_CHECK_PERIOD : CALM_CHECK_PERIOD;
    timer = setTimeout(check, period).unref();
  }
  check();
  return () => clearTimeout(timer);
}
