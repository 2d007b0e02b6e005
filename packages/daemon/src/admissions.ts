/**
 * One admission queue for each model group and service. All of them share the
 * per-customer limits.
 */
import {
  type Admission,
  createAdmission,
  createConcurrencyLimit,
  createCustomerLimits,
} from "@peridotvalve/admission";
import type { Clock } from "@peridotvalve/clock";
import type { Configuration } from "@peridotvalve/types";

/** Concurrent calls to a service before its latency adjusts the limit. */
const INITIAL_SERVICE_CONCURRENCY = 64;
const MAX_SERVICE_CONCURRENCY = 256;

/** Admitted requests per slot, so that slots stay filled as load varies. */
const OVERCOMMIT_FACTOR = 2;

const DEFAULT_QUEUE_LENGTH = 256;

export interface Admissions {
  of(route: string): Admission;
  /** Applies a configuration, also to requests that are already queued. */
  apply(configuration: Configuration): void;
  drain(): void;
}

export interface AdmissionsOptions {
  readonly clock: Clock;
  readonly content: () => Configuration | undefined;
  readonly liveDaemons: () => number;
  readonly readyReplicas: (group: string) => number;
}

export function createAdmissions(options: AdmissionsOptions): Admissions {
  const { clock, content } = options;
  const admissions = new Map<string, Admission>();
  const customers = createCustomerLimits({
    clock,
    liveDaemons: options.liveDaemons,
    quotaOf: (customer) => content()?.customers[customer],
  });

  function create(route: string): Admission {
    const isService = countSlots(content(), route) === undefined;
    const initial = countSlots(content(), route) ?? INITIAL_SERVICE_CONCURRENCY;
    const maximum = () => {
      const slots = countSlots(content(), route);
      if (slots === undefined) return MAX_SERVICE_CONCURRENCY;
      return Math.max(1, slots * OVERCOMMIT_FACTOR);
    };
    return createAdmission({
      clock,
      limit: createConcurrencyLimit({ clock, initial, maximum }),
      customers,
      queueLength: () => content()?.limits.queueLength ?? DEFAULT_QUEUE_LENGTH,
      replicas: () => isService ? 1 : options.readyReplicas(route),
    });
  }

  return {
    of(route) {
      const existing = admissions.get(route);
      if (existing !== undefined) return existing;
      const admission = create(route);
      admissions.set(route, admission);
      return admission;
    },
    apply(configuration) {
      for (const [route, admission] of admissions) {
        admission.revalidate(({ customer }) => {
          const customerSettings = configuration.customers[customer];
          if (customerSettings !== undefined && !customerSettings.disabled) {
            const allowed = configuration.groups[route] === undefined
              ? customerSettings.services
              : customerSettings.models;
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

/** Total slots of a model group's replicas; undefined for a service. */
function countSlots(
  configuration: Configuration | undefined,
  route: string,
): number | undefined {
  const group = configuration?.groups[route];
  if (group === undefined) return undefined;
  return Object.values(group.replicas)
    .reduce((sum, replica) => sum + replica.slots, 0);
}
