/**
 * Checks the results of a replay against the outcome file. A check without data
 * fails, so that no check passes when the daemon answers no request.
 */
import type { Measures } from "./measures.ts";
import type { Outcomes } from "./outcomes.ts";
import type { SentRequest } from "./send.ts";

/** One checked expectation and the value that was observed. */
export interface Check {
  readonly name: string;
  readonly passed: boolean;
  readonly seen: string;
}

/** Returns one check for each expectation that the outcome file states. */
export function checkOutcomes(outcomes: Outcomes, result: {
  readonly sent: readonly SentRequest[];
  readonly measures: Measures;
  /** Executions by idempotency key; the check of orders needs them. */
  readonly runs?: ReadonlyMap<string, number>;
}): readonly Check[] {
  const { measures, sent, runs } = result;
  const checks: Check[] = [{
    name: `at least ${outcomes.minimumCompleted} completed`,
    passed: measures.completed >= outcomes.minimumCompleted,
    seen: String(measures.completed),
  }];
  const { minimumWithinPatience, firstTokenP95, maximumRecomputed } = outcomes;
  if (minimumWithinPatience !== undefined) {
    checks.push({
      name: `share within patience at least ${minimumWithinPatience}`,
      passed: measures.withinPatience >= minimumWithinPatience,
      seen: measures.withinPatience.toFixed(3),
    });
  }
  if (firstTokenP95 !== undefined) {
    const { p95 } = measures.firstToken;
    checks.push({
      name: `first token at the 95th percentile at most ${firstTokenP95} ms`,
      passed: p95 !== null && p95 <= firstTokenP95,
      seen: p95 === null ? "no first token" : `${p95.toFixed(1)} ms`,
    });
  }
  if (maximumRecomputed !== undefined) {
    const { recomputed } = measures;
    checks.push({
      name: `share recomputed at most ${maximumRecomputed}`,
      passed: recomputed !== null && recomputed <= maximumRecomputed,
      seen: recomputed === null ? "no prompts" : recomputed.toFixed(3),
    });
  }
  if (outcomes.ordersRunOnceAt !== undefined) {
    checks.push(checkOrders(sent, runs ?? new Map()));
  }
  return checks;
}

/**
 * Checks that each completed order ran exactly once, that no order ran twice,
 * and that no order that was refused with `ran: "no"` ran at all. Fails when no
 * order was completed.
 */
function checkOrders(
  sent: readonly SentRequest[],
  runs: ReadonlyMap<string, number>,
): Check {
  let completedOrders = 0;
  const violations: string[] = [];
  for (const { request, completed, ran } of sent) {
    if (request.kind !== "order" || request.key === undefined) continue;
    const count = runs.get(request.key) ?? 0;
    if (completed) completedOrders += 1;
    const isViolation = count > 1 || (completed && count !== 1) ||
      (ran === "no" && count > 0);
    if (isViolation) violations.push(`${request.key} ran ${count} times`);
  }
  return {
    name: "every completed order ran once, no order ran twice",
    passed: completedOrders > 0 && violations.length === 0,
    seen: violations[0] ?? `${completedOrders} orders done`,
  };
}
