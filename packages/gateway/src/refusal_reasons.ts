/**
 * States in the reason of a refusal why replicas that exist may not take the
 * request.
 */
import type { Barrier } from "@peridotvalve/dispatch";

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
