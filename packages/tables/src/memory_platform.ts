/**
 * In-memory `Platform` for tests and for embedding. Faults can be switched on
 * and off while it runs.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Milliseconds, Settlement } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import {
  type Commit,
  type ListedVm,
  Platform,
  type Rejection,
  type Row,
  type RowKey,
  type RowPage,
  type RowRange,
  type Transaction,
  type Unavailable,
  type VmList,
} from "./platform.ts";
import { createTableStore } from "./table_store.ts";

/**
 * Fault of one command. "lose request" and "lose answer" both settle as unknown;
 * only the latter takes effect. "late effect" settles as unknown first and takes
 * effect after a delay.
 */
export type CommandFault =
  | "none"
  | "refuse"
  | "lose request"
  | "lose answer"
  | "late effect";

export interface MemoryFaults {
  /** Refuses every command and query. */
  readonly outage: boolean;
  /** Time before a call takes effect; over its timeout it settles as unknown. */
  readonly delay: Milliseconds;
  /** Returns the network delay of the next request or response. */
  readonly messageDelay?: () => Milliseconds;
  /** Number of upcoming commands whose response is lost after the effect. */
  readonly loseNextAnswers: number;
  /** Number of upcoming commands that are lost before the effect. */
  readonly loseNextRequests: number;
  /** Time between the settlement of a "late effect" and the effect. */
  readonly lateEffectDelay: Milliseconds;
  /** Returns the fault of each command; overrides the two counts if present. */
  readonly chooseFault?: (command: "transact" | "putObject") => CommandFault;
}

export abstract class MemoryPlatform extends Platform {
  abstract setFaults(faults: Partial<MemoryFaults>): void;
  abstract setVms(vms: readonly ListedVm[]): void;
}

export interface MemoryPlatformOptions {
  readonly clock?: Clock;
}

const NO_FAULTS: MemoryFaults = {
  outage: false,
  delay: 0,
  loseNextAnswers: 0,
  loseNextRequests: 0,
  lateEffectDelay: 100,
};

const EXPIRED = Symbol("expired");

export function createMemoryPlatform(
  { clock = createSystemClock() }: MemoryPlatformOptions = {},
): MemoryPlatform {
  const store = createTableStore();
  const objects = new Map<string, string>();
  let vms: readonly ListedVm[] = [];
  let faults = NO_FAULTS;

  function nextFault(command: "transact" | "putObject"): CommandFault {
    if (faults.outage) return "refuse";
    if (faults.chooseFault !== undefined) return faults.chooseFault(command);
    if (faults.loseNextAnswers > 0) {
      faults = { ...faults, loseNextAnswers: faults.loseNextAnswers - 1 };
      return "lose answer";
    }
    if (faults.loseNextRequests > 0) {
      faults = { ...faults, loseNextRequests: faults.loseNextRequests - 1 };
      return "lose request";
    }
    return "none";
  }

  async function command<Value, Reason>(
    name: "transact" | "putObject",
    timeout: Milliseconds,
    { refuse, apply }: {
      readonly refuse: (reason: string) => Settlement<Value, Reason>;
      readonly apply: () => Settlement<Value, Reason>;
    },
  ): Promise<Settlement<Value, Reason>> {
    const fault = nextFault(name);
    const { lateEffectDelay } = faults;
    if (fault === "refuse") return refuse("503: outage");
    if (fault === "lose request") return unknown("request lost");
    if (fault === "late effect") {
      clock.sleep(lateEffectDelay).then(apply);
      return unknown("connection broken");
    }
    const settlement = await simulateLatency(timeout, apply);
    if (settlement === EXPIRED) return unknown(`timed out after ${timeout} ms`);
    return fault === "lose answer" ? unknown("response lost") : settlement;
  }

  /**
   * Applies a call with the simulated network delays. When they exceed the
   * timeout, the call ends first and takes effect later.
   */
  async function simulateLatency<Value>(
    timeout: Milliseconds,
    apply: () => Value,
  ): Promise<Value | typeof EXPIRED> {
    const { delay, messageDelay = () => 0 } = faults;
    const requestDelay = delay + messageDelay();
    const responseDelay = messageDelay();
    if (requestDelay + responseDelay === 0) return apply();
    if (requestDelay + responseDelay < timeout) {
      await clock.sleep(requestDelay);
      const value = apply();
      if (responseDelay > 0) await clock.sleep(responseDelay);
      return value;
    }
    clock.sleep(requestDelay).then(apply);
    await clock.sleep(timeout);
    return EXPIRED;
  }

  async function query<Value>(
    timeout: Milliseconds,
    read: () => Value,
  ): Promise<Result<Value, Unavailable>> {
    if (faults.outage) return unavailable("503: outage");
    const value = await simulateLatency(timeout, read);
    if (value === EXPIRED) return unavailable(`timed out after ${timeout} ms`);
    return Ok(value as Value);
  }

  return new (class extends MemoryPlatform {
    override setFaults(changed: Partial<MemoryFaults>): void {
      faults = { ...faults, ...changed };
    }

    override setVms(list: readonly ListedVm[]): void {
      vms = list;
    }

    override transact(
      transaction: Transaction,
      timeout: Milliseconds,
    ): Promise<Settlement<Commit, Rejection>> {
      return command<Commit, Rejection>("transact", timeout, {
        refuse: (reason) => notDone<Rejection>({ kind: "refused", reason }),
        apply: () => {
          const result = store.transact(transaction);
          if (result.kind === "conflict") return notDone<Rejection>(result);
          return { kind: "done", value: result.commit };
        },
      });
    }

    override putObject(
      { name, content }: { readonly name: string; readonly content: string },
      timeout: Milliseconds,
    ): Promise<Settlement<void>> {
      return command<void, string>("putObject", timeout, {
        refuse: notDone,
        apply: () => {
          if ((objects.get(name) ?? content) !== content) {
            return notDone(`object ${name} exists with other content`);
          }
          objects.set(name, content);
          return { kind: "done", value: undefined };
        },
      });
    }

    override readRow(
      key: RowKey,
      timeout: Milliseconds,
    ): Promise<Result<Row | undefined, Unavailable>> {
      return query(timeout, () => store.readRow(key));
    }

    override readRows(
      range: RowRange,
      timeout: Milliseconds,
    ): Promise<Result<RowPage, Unavailable>> {
      return query(timeout, () => store.readRows(range));
    }

    override readObject(
      name: string,
      timeout: Milliseconds,
    ): Promise<Result<string | undefined, Unavailable>> {
      return query(timeout, () => objects.get(name));
    }

    override readVms(
      timeout: Milliseconds,
    ): Promise<Result<VmList, Unavailable>> {
      return query(timeout, () => ({
        at: clock.now(),
        vms,
        malformed: 0,
      }));
    }
  })();
}

function notDone<Reason>(
  reason: Reason,
): { readonly kind: "not done"; readonly reason: Reason } {
  return { kind: "not done", reason };
}

function unknown(
  reason: string,
): { readonly kind: "unknown"; readonly reason: string } {
  return { kind: "unknown", reason };
}

function unavailable(reason: string): Err<Unavailable> {
  return Err({ kind: "unavailable", reason });
}
