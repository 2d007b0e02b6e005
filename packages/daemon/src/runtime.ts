/**
 * The components of a daemon that request handlers use.
 */
import type { Admission, SendGate } from "@peridotvalve/admission";
import type { Claims } from "@peridotvalve/claims";
import type { Clock } from "@peridotvalve/clock";
import type { ConfigurationWatch } from "@peridotvalve/configuration";
import type { Failure } from "@peridotvalve/errors";
import type { EventLogger } from "@peridotvalve/events";
import type { LinkBudget, Placement, PrefixIndex } from "@peridotvalve/routing";
import type { AttemptBudget } from "@peridotvalve/retries";
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Policy, VersionedConfiguration } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Cache } from "./cache/cache.ts";
import type { LegacyProxy } from "./callers/legacy.ts";
import type { LatencyWindows } from "./latency_windows.ts";
import type { Fleet } from "./fleet/fleet.ts";
import type { Meters } from "./meters.ts";
import type { ServiceDirectory } from "./services/directory.ts";
import type { Intake } from "./http/intake.ts";
import type { Drain } from "./shutdown.ts";

export interface Runtime {
  readonly settings: ProcessSettings;
  /** Identifies this start of the process; the owner of its claims. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly configuration: ConfigurationWatch;
  readonly fleet: Fleet;
  readonly prefixIndex: PrefixIndex;
  readonly link: LinkBudget;
  readonly cache: Cache;
  readonly services: ServiceDirectory;
  readonly legacy: LegacyProxy;
  readonly claims: Claims;
  readonly retryBudget: AttemptBudget;
  readonly hedgeBudget: AttemptBudget;
  /** Times to first token of individual attempts, by model group. */
  readonly firstTokenLatencies: LatencyWindows;
  readonly sendGate: SendGate;
  readonly drain: Drain;
  readonly intake: Intake;
  readonly meters: Meters;
  readonly log: EventLogger["log"];
  /** The admission queue of a model group or service. */
  admissionOf(route: string): Admission;
  placementOf(policy: Policy["placement"]): Placement;
}

/** The current configuration, or a failure if the daemon has none yet. */
export function requireConfiguration(
  runtime: Runtime,
): Result<VersionedConfiguration, Failure> {
  const configuration = runtime.configuration.current();
  if (configuration !== undefined) return Ok(configuration);
  return Err({
    code: "not_configured",
    ran: "no",
    message: "this daemon has no configuration yet",
    retryAfter: 1_000,
  });
}
