/**
 * Checks guarantee 7: no new work reaches an upstream later than the target
 * time after it was told to leave. Attempts that the upstream refused count as
 * work.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { History, Violation } from "../history.ts";

/** Drain target of docs/design.md, section 2. */
const LEAVING_TARGET: Milliseconds = 3_000;

export function checkLeaving(history: History): readonly Violation[] {
  const leaving = history.faults.filter(({ fault }) =>
    fault === "engine leaving"
  );
  return leaving.flatMap(({ target, begin, end }) =>
    history.engineRecords.filter((record) => record.process === target)
      .flatMap(({ attempts }) => attempts)
      .filter(({ at }) => at > begin + LEAVING_TARGET && at < end)
      .map(({ attempt, at }) => ({
        rule: "a leaving upstream gets no new work after 3 s",
        message: `attempt ${attempt} reached ${target} ${at - begin} ms ` +
          "after it was told to leave",
      }))
  );
}
