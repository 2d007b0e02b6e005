/**
 * Admission control for one model group or service. Each grant is one
 * synchronous step: the queue, the limits and the monotonic clock are read and
 * the permit is issued without yielding to the event loop in between.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Failure } from "@peridotvalve/errors";
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { CustomerLimits } from "./customer_limits.ts";
import {
  createPriorityQueue,
  type PriorityQueueItem,
} from "./priority_queue.ts";
import { priorityOf } from "./priority.ts";
import * as refusals from "./refusals.ts";
import type {
  AdmissionRequest,
  AdmissionStatus,
  Observation,
  Permit,
  Revalidation,
} from "./request.ts";

export abstract class Admission {
  /**
   * Waits for a permit. Every refusal has `ran: "no"`, and a refused request
   * never gets a permit. A permit granted while the signal aborts must still be
   * finished.
   */
  abstract admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Failure>>;

  /** Refuses queued requests for which `check` returns a failure. */
  abstract revalidate(check: Revalidation): void;

  /**
   * Grants permits that changed limits allow, such as after a new
   * configuration.
   */
  abstract refresh(): void;

  /** Refuses new requests from now on; queued requests are still granted. */
  abstract drain(): void;

  abstract status(): AdmissionStatus;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly limit: ConcurrencyLimit;
  readonly customers: CustomerLimits;
  /** Maximum number of queued requests. */
  readonly queueLength: () => number;
  /** Number of ready replicas. */
  readonly replicas: () => number;
  /** Estimated service time from which a request counts as long work. */
  readonly longThreshold?: Milliseconds;
  /** Maximum concurrent long requests per replica. */
  readonly longPerReplica?: number;
}

/** Several times the few seconds of an ordinary response. */
const DEFAULT_LONG_THRESHOLD: Milliseconds = 10_000;

/** Leaves the other slots of each replica to short work. */
const DEFAULT_LONG_PER_REPLICA = 1;

interface Waiter extends PriorityQueueItem {
  readonly request: AdmissionRequest;
  readonly arrivedAt: Milliseconds;
  /** Latest monotonic time at which the request may start. */
  readonly latestStart: Milliseconds;
  readonly settle: (result: Result<Permit, Failure>) => void;
  /** Cancels the timer for `latestStart`. */
  readonly timer: AbortController;
}

export function createAdmission(options: AdmissionOptions): Admission {
  const { clock, limit, customers } = options;
  const longThreshold = options.longThreshold ?? DEFAULT_LONG_THRESHOLD;
  const longPerReplica = options.longPerReplica ?? DEFAULT_LONG_PER_REPLICA;
  const queue = createPriorityQueue<Waiter>({
    shareOf: (customer) => customers.shareOf(customer),
  });
  let running = 0;
  let runningLong = 0;
  let runningTime: Milliseconds = 0;
  let draining = false;

  function mayRunLong(): boolean {
    const maxLong = Math.max(1, longPerReplica * options.replicas());
    // With two or more slots, one is reserved for short work.
    const slots = Math.max(1, limit.current() - 1);
    return runningLong < Math.min(maxLong, slots);
  }

  function toQueueItem(request: AdmissionRequest): PriorityQueueItem {
    const { customer, workClass, serviceTime } = request;
    const isLong = serviceTime >= longThreshold;
    return { customer, workClass, serviceTime, isLong };
  }

  /** Estimated time until a request that arrives now would start. */
  function estimateWait(item: PriorityQueueItem): Milliseconds {
    const slots = limit.current();
    const isFree = running < slots && queue.size() === 0;
    if (isFree && (!item.isLong || mayRunLong())) return 0;
    const workAhead = queue.workAhead(item);
    const byQueue = workAhead.sameLevel / slotsFor(item) +
      workAhead.higherLevels / slots;
    const concurrency = customers.concurrencyOf(item.customer);
    const byCustomer = queue.timeOf(item) / Math.max(1, concurrency);
    // Expected time until the first of the running requests ends.
    const nextCompletion = running === 0
      ? 0
      : runningTime / running / (running + 1);
    return Math.max(byQueue, byCustomer) + nextCompletion;
  }

  function slotsFor(item: PriorityQueueItem): number {
    const slots = limit.current();
    if (!item.isLong) return slots;
    return Math.min(slots, Math.max(1, longPerReplica * options.replicas()));
  }

  function findRefusal(
    request: AdmissionRequest,
    item: PriorityQueueItem,
  ): Failure | undefined {
    if (draining) return refusals.shuttingDown();
    if (customers.concurrencyOf(request.customer) === 0) {
      return refusals.forbidden();
    }
    const wait = estimateWait(item);
    const maxWait = request.patience - (request.timeToAnswer ?? 0);
    if (wait > maxWait || maxWait < 0) return refusals.tooLate(wait, maxWait);
    if (queue.size() >= options.queueLength() && wait > 0) {
      return refusals.queueFull(wait);
    }
    const retryAfter = customers.takeRateToken(request.customer);
    return retryAfter > 0 ? refusals.rateLimited(retryAfter) : undefined;
  }

  function enqueue(
    request: AdmissionRequest,
    settle: (result: Result<Permit, Failure>) => void,
  ): Waiter {
    const arrivedAt = clock.monotonic();
    const maxWait = request.patience - (request.timeToAnswer ?? 0);
    const waiter = {
      ...toQueueItem(request),
      request,
      arrivedAt,
      latestStart: arrivedAt + maxWait,
      settle,
      timer: new AbortController(),
    };
    queue.push(waiter);
    return waiter;
  }

  /** Removes a waiter from the queue and refuses it, unless already settled. */
  function withdraw(waiter: Waiter, failure: Failure): void {
    if (!queue.remove(waiter)) return;
    refuse(waiter, failure);
  }

  /** Refuses a waiter that has been removed from the queue. */
  function refuse(waiter: Waiter, failure: Failure): void {
    waiter.timer.abort();
    waiter.settle(Err(failure));
  }

  function grant(waiter: Waiter): void {
    waiter.timer.abort();
    running += 1;
    runningTime += waiter.serviceTime;
    if (waiter.isLong) runningLong += 1;
    customers.start(waiter.customer);
    waiter.settle(Ok(createPermit(waiter)));
  }

  function createPermit(waiter: Waiter): Permit {
    let finished = false;
    const finish = (observation?: Observation) => {
      if (finished) return;
      finished = true;
      if (observation !== undefined) limit.record(observation, running);
      running -= 1;
      runningTime -= waiter.serviceTime;
      if (waiter.isLong) runningLong -= 1;
      customers.finish(waiter.customer);
      grantAll();
    };
    const { request, isLong } = waiter;
    const queuedFor = clock.monotonic() - waiter.arrivedAt;
    return {
      request,
      queuedFor,
      priority: priorityOf(request, isLong),
      finish,
    };
  }

  /**
   * Grants permits while slots are free and refuses waiters past their
   * deadline.
   */
  function grantAll(): void {
    while (running < limit.current()) {
      const waiter = queue.take({
        mayRun: (customer) => customers.mayRun(customer),
        mayRunLong: mayRunLong(),
      });
      if (waiter === undefined) return;
      // After a pause of the process this runs before overdue timers fire.
      if (clock.monotonic() > waiter.latestStart) {
        refuse(waiter, refusals.expired());
        continue;
      }
      grant(waiter);
    }
  }

  async function watchDeadline(waiter: Waiter): Promise<void> {
    const remaining = waiter.latestStart - clock.monotonic();
    await clock.sleep(Math.max(0, remaining), waiter.timer.signal);
    if (waiter.timer.signal.aborted) return;
    withdraw(waiter, refusals.expired());
  }

  // A customer at its limit becomes eligible when its request to another model
  // group or service ends.
  customers.subscribe(grantAll);

  function waitForPermit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Result<Permit, Failure>> {
    return new Promise((resolve) => {
      const cancel = () => withdraw(waiter, refusals.cancelled());
      const waiter = enqueue(request, (result) => {
        signal.removeEventListener("abort", cancel);
        resolve(result);
      });
      signal.addEventListener("abort", cancel, { once: true });
      grantAll();
      if (waiter.timer.signal.aborted) return;
      if (queue.size() > options.queueLength()) {
        return withdraw(waiter, refusals.queueFull(estimateWait(waiter)));
      }
      void watchDeadline(waiter);
    });
  }

  return new (class extends Admission {
    override async admit(
      request: AdmissionRequest,
      signal: AbortSignal,
    ): Promise<Result<Permit, Failure>> {
      if (signal.aborted) return Err(refusals.cancelled());
      const refusal = findRefusal(request, toQueueItem(request));
      if (refusal !== undefined) return Err(refusal);
      return await waitForPermit(request, signal);
    }

    override revalidate(check: Revalidation): void {
      for (const waiter of [...queue.items()]) {
        const failure = check(waiter.request);
        if (failure !== undefined) withdraw(waiter, failure);
      }
      grantAll();
    }

    override refresh(): void {
      grantAll();
    }

    override drain(): void {
      draining = true;
    }

    override status(): AdmissionStatus {
      return {
        limit: limit.current(),
        running,
        runningLong,
        queued: queue.size(),
        queuedServiceTime: queue.totalTime(),
        draining,
      };
    }
  })();
}
