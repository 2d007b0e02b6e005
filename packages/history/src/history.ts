/**
 * A history with its invocations and completions joined, as the checks read
 * it.
 */
import type { Timestamp } from "@peridotvalve/types";
import type {
  ConfigurationRecord,
  Disturbed,
  EngineRecord,
  Entry,
  Observed,
  Operation,
  Outcome,
  ServiceCall,
  Setup,
} from "./records.ts";

export interface Call<Kind extends Operation = Operation> {
  readonly id: number;
  readonly start: Timestamp;
  readonly operation: Kind;
  /** Absent when the run ended first. */
  readonly end?: Timestamp;
  readonly outcome?: Outcome;
}

/** A fault from its begin to its end; infinite when it was not undone. */
export interface Disturbance extends
  Pick<
    Disturbed,
    "fault" | "target" | "detail"
  > {
  readonly begin: Timestamp;
  readonly end: Timestamp;
}

export interface RanCall extends ServiceCall {
  readonly process: string;
}

export interface History {
  readonly setup: Setup;
  readonly calls: readonly Call[];
  readonly observed: readonly Observed[];
  readonly disturbances: readonly Disturbance[];
  /** What the services ran, by their own record. */
  readonly ran: readonly RanCall[];
  readonly engines: readonly EngineRecord[];
  /** Absent when the history of changes could not be read at the end. */
  readonly configuration: ConfigurationRecord | undefined;
}

/** One broken rule, with the entries that show it. */
export interface Violation {
  readonly rule: string;
  readonly message: string;
}

const NO_SETUP: Setup = { kind: "setup", tokensPerBlock: 2_000, weights: [] };

export function joinHistory(entries: readonly Entry[]): History {
  const completions = new Map(
    entries.flatMap((entry) =>
      entry.kind === "completed" ? [[entry.id, entry] as const] : []
    ),
  );
  return {
    setup: entries.find((entry) => entry.kind === "setup") ?? NO_SETUP,
    calls: entries.filter((entry) => entry.kind === "invoked")
      .map(({ id, at: start, operation }) => {
        const completion = completions.get(id);
        if (completion === undefined) return { id, start, operation };
        const { at: end, outcome } = completion;
        return { id, start, operation, end, outcome };
      }),
    observed: entries.filter((entry) => entry.kind === "observed"),
    disturbances: joinFaults(entries.filter((entry) => entry.kind === "fault")),
    ran: entries.filter((entry) => entry.kind === "service record")
      .flatMap(({ process, calls }) =>
        calls.map((call) => ({ ...call, process }))
      ),
    engines: entries.filter((entry) => entry.kind === "engine record"),
    configuration: entries.find((entry) =>
      entry.kind === "configuration record"
    ),
  };
}

function joinFaults(entries: readonly Disturbed[]): readonly Disturbance[] {
  const ends = new Map(
    entries.filter(({ phase }) => phase === "end")
      .map(({ id, at }) => [id, at]),
  );
  return entries.filter(({ phase }) => phase === "begin")
    .map(({ id, at, fault, target, detail }) => ({
      fault,
      target,
      detail,
      begin: at,
      end: ends.get(id) ?? Number.POSITIVE_INFINITY,
    }));
}

/** The calls of one type. */
export function callsOf<Type extends Operation["type"]>(
  history: History,
  type: Type,
): readonly Call<Extract<Operation, { readonly type: Type }>>[] {
  return history.calls.filter((call) => call.operation.type === type) as Call<
    Extract<Operation, { readonly type: Type }>
  >[];
}

/** Reads a history from JSON lines. */
export function parseHistory(text: string): readonly Entry[] {
  return text.split("\n").filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Entry);
}
