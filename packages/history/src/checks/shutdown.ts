/**
 * Guarantee 8: a planned stop (SIGTERM) cuts off no request that reached the
 * daemon. Connections that a stopped daemon refuses carry no request.
 */
import type { Call, Disturbance, History, Violation } from "../history.ts";

export function checkShutdown(history: History): readonly Violation[] {
  const stops = history.disturbances.filter(({ fault }) =>
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

function overlaps(call: Call, { begin, end }: Disturbance): boolean {
  return call.start < end && (call.end ?? Number.POSITIVE_INFINITY) > begin;
}

/** A killed or paused daemon cuts off requests for another reason. */
function isDisturbedOtherwise(history: History, call: Call): boolean {
  return history.disturbances.some((disturbance) =>
    disturbance.target === call.operation.daemon &&
    (disturbance.fault === "daemon killed" ||
      disturbance.fault === "daemon paused") &&
    overlaps(call, disturbance)
  );
}

function isCutOff({ outcome, operation }: Call): boolean {
  if (outcome?.type === "broken") return outcome.stage !== "not connected";
  if (outcome?.type !== "answered") return false;
  return operation.type === "chat" && !outcome.done && outcome.code === null;
}
