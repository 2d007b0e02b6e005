/**
 * Checks guarantee 8: a graceful shutdown (SIGTERM) interrupts no request that
 * reached the daemon. Connections that a stopped daemon refuses do not count,
 * because they carried no request.
 */
import type { Call, FaultInterval, History, Violation } from "../history.ts";

export function checkShutdown(history: History): readonly Violation[] {
  const stops = history.faults.filter(({ fault }) =>
    fault === "daemon stopped"
  );
  return stops.flatMap((stop) =>
    history.calls.filter((call) =>
      call.operation.daemon === stop.target && overlaps(call, stop) &&
      !isDisturbedOtherwise(history, call) && isCutOff(call)
    ).map((call) => ({
      rule: "a planned stop cuts off no request",
      message: `${call.operation.type} ${call.id} at ${stop.target} began ` +
        `${call.start - stop.begin} ms after the stop and was cut off`,
    }))
  );
}

function overlaps(call: Call, { begin, end }: FaultInterval): boolean {
  return call.start < end && (call.end ?? Number.POSITIVE_INFINITY) > begin;
}

/** Whether the daemon was also killed or paused, which interrupts requests too. */
function isDisturbedOtherwise(history: History, call: Call): boolean {
  return history.faults.some((interval) =>
    interval.target === call.operation.daemon &&
    (interval.fault === "daemon killed" ||
      interval.fault === "daemon paused") &&
    overlaps(call, interval)
  );
}

function isCutOff({ outcome, operation }: Call): boolean {
  if (outcome?.type === "broken") return outcome.stage !== "not connected";
  if (outcome?.type !== "answered") return false;
  return operation.type === "chat" && !outcome.done && outcome.code === null;
}
