/**
 * Engine priorities of admitted work.
 */
import type { AdmissionRequest } from "./request.ts";

/** Lower runs first. Long work yields to all short work. */
const ORDER_PRIORITY = 0;
const ADVICE_PRIORITY = 1;
const LONG_PRIORITY = 2;

export function priorityOf(request: AdmissionRequest, isLong: boolean): number {
  if (isLong) return LONG_PRIORITY;
  return request.workClass === "order" ? ORDER_PRIORITY : ADVICE_PRIORITY;
}
