/**
 * Scheduling priorities that engines apply to admitted requests.
 */
import type { AdmissionRequest } from "./request.ts";

/** Lower values run first. Long work runs after all short work. */
const ORDER_PRIORITY = 0;
const ADVICE_PRIORITY = 1;
const LONG_PRIORITY = 2;

export function priorityOf(request: AdmissionRequest, isLong: boolean): number {
  if (isLong) return LONG_PRIORITY;
  return request.workClass === "order" ? ORDER_PRIORITY : ADVICE_PRIORITY;
}
