/**
 * Reasons of refusals, and why replicas that exist may not take a request.
 */
import type { Barrier } from "@peridotvalve/dispatch";

/** Requests that this daemon cannot serve now, and no neighbor takes. */
export const NO_CONTACT = "no replica can be reached";

/** Requests that no replica wants before it is too late. */
export const PUSHED_BACK = "all replicas ask for time";

/** Streams that may go on at no replica that is known. */
export const NO_ORIGIN = "no replica can go on with the stream";

const BARRIER_TEXTS: Readonly<Record<Barrier, string>> = {
  regions: "others are outside the allowed regions",
  evacuation: "others are in evacuated zones",
};

/** Reasons that further replicas would have avoided. */
const LACK_OF_REPLICAS =
  /^no replica$|no room$|too many wait$|refused with \d+$|ask for time$/;

export function explainRefusal(
  reason: string,
  barrier: Barrier | undefined,
): string {
  return barrier === undefined || !LACK_OF_REPLICAS.test(reason)
    ? reason
    : `${reason}, ${BARRIER_TEXTS[barrier]}`;
}
