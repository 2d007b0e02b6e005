/**
 * Decides whether a duty is served here or by the legacy system.
 */
import type { Configuration, Duty, DutyRule } from "@peridotvalve/types";

export interface DutyQuestion {
  readonly duty: Duty;
  /** Model group or service. */
  readonly route: string;
  readonly customer: string;
}

/** A duty without a matching rule is on. */
export function isDutyOn(
  configuration: Configuration,
  question: DutyQuestion,
): boolean {
  let best: DutyRule | undefined;
  for (const rule of configuration.duties) {
    if (!matches(rule, question)) continue;
    if (best === undefined || specificity(rule) >= specificity(best)) {
      best = rule;
    }
  }
  return best?.on ?? true;
}

function matches(rule: DutyRule, question: DutyQuestion): boolean {
  if (rule.duty !== question.duty) return false;
  if (rule.route !== undefined && rule.route !== question.route) return false;
  return rule.customer === undefined || rule.customer === question.customer;
}

function specificity(rule: DutyRule): number {
  return Number(rule.route !== undefined) + Number(rule.customer !== undefined);
}
