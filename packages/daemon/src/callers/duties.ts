/**
 * Decides whether a duty (a kind of work, such as chat completions or orders)
 * is served by this system or forwarded to the legacy system.
 */
import type { Configuration, Duty, DutyRule } from "@peridotvalve/types";

export interface DutyQuery {
  readonly duty: Duty;
  /** Name of the model group or service. */
  readonly route: string;
  readonly customer: string;
}

/**
 * Evaluates the duty rules for a request. The most specific matching rule
 * applies, and the last one among equally specific rules. Without a matching
 * rule the duty is on.
 */
export function isDutyOn(
  configuration: Configuration,
  query: DutyQuery,
): boolean {
  let mostSpecific: DutyRule | undefined;
  for (const rule of configuration.duties) {
    if (!matches(rule, query)) continue;
    if (
      mostSpecific === undefined ||
      specificity(rule) >= specificity(mostSpecific)
    ) {
      mostSpecific = rule;
    }
  }
  return mostSpecific?.on ?? true;
}

function matches(rule: DutyRule, query: DutyQuery): boolean {
  if (rule.duty !== query.duty) return false;
  if (rule.route !== undefined && rule.route !== query.route) return false;
  return rule.customer === undefined || rule.customer === query.customer;
}

function specificity(rule: DutyRule): number {
  return Number(rule.route !== undefined) + Number(rule.customer !== undefined);
}
