/**
 * One admission for each model group and service. They share the limits of the
 * customers.
 */
import {
  type Admission,
  createAdmission,
  createConcurrencyLimit,
  createCustomerLimits,
} from "@peridotvalve/admission";
import type { Clock } from "@peridotvalve/clock";
import type { Configuration } from "@peridotvalve/types";

/** Concurrent calls to one plain service, until its latency says otherwise. */
const SERVICE_CONCURRENCY = 64;
const HIGHEST_SERVICE_CONCURRENCY = 256;

/** Requests above the slots that a replica takes while its load varies. */
const OVERCOMMIT = 2;

const DEFAULT_QUEUE_LENGTH = 256;

export interface Admissions {
  of(route: string): Admission;
  /** Applies a configuration to queued work as well. */
  apply(configuration: Configuration): void;
  drain(): void;
}

export interface AdmissionParts {
  readonly clock: Clock;
  readonly content: () => Configuration | undefined;
  readonly liveDaemons: () => number;
  readonly readyReplicas: (group: string) => number;
}

export function createAdmissions(parts: AdmissionParts): Admissions {
  const { clock, content } = parts;
  const admissions = new Map<string, Admission>();
  const customers = createCustomerLimits({
    clock,
    liveDaemons: parts.liveDaemons,
    quotaOf: (customer) => content()?.customers[customer],
  });

  function create(route: string): Admission {
    const isService = countSlots(content(), route) === undefined;
    const initial = countSlots(content(), route) ?? SERVICE_CONCURRENCY;
    const maximum = () => {
      const slots = countSlots(content(), route);
      if (slots === undefined) return HIGHEST_SERVICE_CONCURRENCY;
      return Math.max(1, slots * OVERCOMMIT);
    };
    return createAdmission({
      clock,
      limit: createConcurrencyLimit({ clock, initial, maximum }),
      customers,
      queueLength: () => content()?.limits.queueLength ?? DEFAULT_QUEUE_LENGTH,
      replicas: () => isService ? 1 : parts.readyReplicas(route),
    });
  }

  return {
    of(route) {
      const known = admissions.get(route);
      if (known !== undefined) return known;
      const admission = create(route);
      admissions.set(route, admission);
      return admission;
    },
    apply(configuration) {
      for (const [route, admission] of admissions) {
        admission.revalidate(({ customer }) => {
          const now = configuration.customers[customer];
          if (now !== undefined && !now.disabled) {
            const allowed = configuration.groups[route] === undefined
              ? now.services
              : now.models;
            if (allowed?.includes(route) ?? true) return undefined;
          }
          return {
            code: "forbidden",
            ran: "no",
            message: "a configuration change bars this request",
          };
        });
        admission.refresh();
      }
    },
    drain() {
      for (const admission of admissions.values()) admission.drain();
    },
  };
}

/** Slots of a model group's replicas; undefined for a service. */
function countSlots(
  configuration: Configuration | undefined,
  route: string,
): number | undefined {
  const group = configuration?.groups[route];
  if (group === undefined) return undefined;
  return Object.values(group.replicas)
    .reduce((sum, replica) => sum + replica.slots, 0);
}
