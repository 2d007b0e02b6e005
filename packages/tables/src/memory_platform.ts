/**
 * A platform inside the process, for tests and for embedding. Its faults can
 * be switched while it runs.
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
 * What happens to one command. "lose request" and "lose answer" both settle as
 * unknown; only the latter takes effect. "late effect" settles as unknown
 * first and takes effect `lateBy` afterwards.
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
  /** Time before a call takes effect; past its timeout it settles as unknown. */
  readonly delay: Milliseconds;
  /** Time that the next message, a request or an answer, is under way. */
  readonly travel?: () => Milliseconds;
  /** Count of coming commands whose answer is lost after the effect. */
  readonly loseNextAnswers: number;
  /** Count of coming commands that are lost before the effect. */
  readonly loseNextRequests: number;
  readonly lateBy: Milliseconds;
  /** Decides the fault of each command; overrides the counts when present. */
  readonly decide?: (command: "transact" | "putObject") => CommandFault;
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
  lateBy: 100,
};

const LATE = Symbol("late");

export function createMemoryPlatform(
  { clock = createSystemClock() }: MemoryPlatformOptions = {},
): MemoryPlatform {
  const store = createTableStore();
  const objects = new Map<string, string>();
  let vms: readonly ListedVm[] = [];
  let faults = NO_FAULTS;

  function nextFault(command: "transact" | "putObject"): CommandFault {
    if (faults.outage) return "refuse";
    if (faults.decide !== undefined) return faults.decide(command);
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
    const { lateBy } = faults;
    if (fault === "refuse") return refuse("503: outage");
    if (fault === "lose request") return unknown("request lost");
    if (fault === "late effect") {
      clock.sleep(lateBy).then(apply);
      return unknown("connection broken");
    }
    const settlement = await carry(timeout, apply);
    if (settlement === LATE) return unknown(`no answer within ${timeout} ms`);
    return fault === "lose answer" ? unknown("answer lost") : settlement;
  }

  /** Carries a call over the network; its effect may come after the answer. */
  async function carry<Value>(
    timeout: Milliseconds,
    apply: () => Value,
  ): Promise<Value | typeof LATE> {
    const { delay, travel = () => 0 } = faults;
    const request = delay + travel();
    const answer = travel();
    if (request + answer === 0) return apply();
    if (request + answer < timeout) {
      await clock.sleep(request);
      const value = apply();
      if (answer > 0) await clock.sleep(answer);
      return value;
    }
    clock.sleep(request).then(apply);
    await clock.sleep(timeout);
    return LATE;
  }

  async function query<Value>(
    timeout: Milliseconds,
    read: () => Value,
  ): Promise<Result<Value, Unavailable>> {
    if (faults.outage) return unavailable("503: outage");
    const value = await carry(timeout, read);
    if (value === LATE) return unavailable(`no answer within ${timeout} ms`);
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
          const answer = store.transact(transaction);
          if (answer.kind === "conflict") return notDone<Rejection>(answer);
          return { kind: "done", value: answer.commit };
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
            return notDone(`object ${name} has other content`);
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
      return query(timeout, () => ({ at: clock.now(), vms }));
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
