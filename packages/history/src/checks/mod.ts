/**
 * The checks of all guarantees of docs/design.md, section 2.
 */
import type { History, Violation } from "../history.ts";
import { checkCompletions } from "./completions.ts";
import { checkConfiguration } from "./configuration.ts";
import { checkIsolation } from "./isolation.ts";
import { checkLeaving } from "./leaving.ts";
import { checkOrders } from "./orders.ts";
import { checkShutdown } from "./shutdown.ts";

export {
  checkCompletions,
  checkConfiguration,
  checkIsolation,
  checkLeaving,
  checkOrders,
  checkShutdown,
};

/** Runs all checks and returns the violations that they found. */
export function checkHistory(history: History): readonly Violation[] {
  return [
    ...checkOrders(history),
    ...checkCompletions(history),
    ...checkConfiguration(history),
    ...checkLeaving(history),
    ...checkShutdown(history),
    ...checkIsolation(history),
  ];
}
