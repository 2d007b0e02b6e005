/**
 * Probes the replicas when this daemon may reach none of them, and again until
 * one answers.
 */
import type { ReplicaContact } from "@peridotvalve/admission";
import type { Pushback } from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type { Replica, ReplicaTable } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import type { ReplicaControl } from "./replica_control.ts";

export interface ContactWatchOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly contact: ReplicaContact;
  readonly replicas: ReplicaTable;
  readonly pushback: Pick<Pushback, "isActive">;
  readonly control: Pick<ReplicaControl, "isReachable">;
}

const CHECK_PERIOD: Milliseconds = 100;

/** Interval between probes while no replica answers. */
const PROBE_PERIOD: Milliseconds = 400;

/** Replicas that are probed at once. */
const PROBES = 3;

/** Watches until the signal aborts. */
export async function watchContact(
  options: ContactWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, logger, contact, replicas, pushback, control } = options;
  let lostSince: Milliseconds | undefined;

  function logChange(): void {
    const isLost = contact.isLost();
    if (isLost === (lostSince !== undefined)) return;
    if (lostSince === undefined) {
      lostSince = clock.monotonic();
      logger.log("replicas_lost", { silent: replicas.silent().length });
      return;
    }
    const elapsed = clock.monotonic() - lostSince;
    lostSince = undefined;
    // They failed nothing: the way to them was cut.
    replicas.forgiveAll();
    logger.log("replicas_regained", { elapsed });
  }

  while (!signal.aborted) {
    await clock.sleep(
      lostSince === undefined ? CHECK_PERIOD : PROBE_PERIOD,
      signal,
    );
    if (contact.isLost() || contact.mayBeLost(replicas.silent().length)) {
      const chosen = chooseSome(
        replicas.all().filter(({ entry }) => !pushback.isActive(entry)),
      );
      if (chosen.length === 0) continue;
      const answers = await Promise.all(
        chosen.map((replica) => control.isReachable(replica)),
      );
      if (answers.includes(true)) contact.recordReceived();
      else if (!signal.aborted) contact.recordFailedProbe();
    }
    logChange();
  }
}

function chooseSome(replicas: readonly Replica[]): readonly Replica[] {
  const start = Math.floor(Math.random() * replicas.length);
  return [...replicas.slice(start), ...replicas.slice(0, start)]
    .slice(0, PROBES);
}
