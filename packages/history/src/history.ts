/**
 * Joins the entries of a recorded run into the history that the checks read:
 * invocations with their completions, and the start of a fault with its end.
 */
import type { Timestamp } from "@peridotvalve/types";
import type {
  ConfigurationRecord,
  EngineRecord,
  Entry,
  FaultEvent,
  Observation,
  Operation,
  Outcome,
  ServiceCall,
  Setup,
} from "./records.ts";

export interface Call<Kind extends Operation = Operation> {
  readonly id: number;
  readonly start: Timestamp;
  readonly operation: Kind;
  /** Absent when the run ended before the call completed. */
  readonly end?: Timestamp;
  readonly outcome?: Outcome;
}

/** Interval of a fault; `end` is infinite when the fault was never reverted. */
export interface FaultInterval extends
  Pick<
    FaultEvent,
    "fault" | "target" | "detail"
  > {
  readonly begin: Timestamp;
  readonly end: Timestamp;
}

export interface ServiceExecution extends ServiceCall {
  readonly process: string;
}

export interface History {
  readonly setup: Setup;
  readonly calls: readonly Call[];
  readonly observations: readonly Observation[];
  readonly faults: readonly FaultInterval[];
  /** Calls that the services executed, from their own records. */
  readonly ran: readonly ServiceExecution[];
  readonly engineRecords: readonly EngineRecord[];
  /** Absent when no daemon returned the change history at the end of the run. */
  readonly configuration: ConfigurationRecord | undefined;
}

/** A violated rule, with a message that names the entries involved. */
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
    observations: entries.filter((entry) => entry.kind === "observed"),
    faults: pairFaultEvents(entries.filter((entry) => entry.kind === "fault")),
    ran: entries.filter((entry) => entry.kind === "service record")
      .flatMap(({ process, calls }) =>
        calls.map((call) => ({ ...call, process }))
      ),
    engineRecords: entries.filter((entry) => entry.kind === "engine record"),
    configuration: entries.find((entry) =>
      entry.kind === "configuration record"
    ),
  };
}

function pairFaultEvents(
  entries: readonly FaultEvent[],
): readonly FaultInterval[] {
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

/** Selects the calls whose operation has the given type. */
export function callsOf<Type extends Operation["type"]>(
  history: History,
  type: Type,
): readonly Call<Extract<Operation, { readonly type: Type }>>[] {
  return history.calls.filter((call) => call.operation.type === type) as Call<
    Extract<Operation, { readonly type: Type }>
  >[];
}

/** Parses a history of JSON lines. Throws on a line that is not valid JSON. */
export function parseHistory(text: string): readonly Entry[] {
  return text.split("\n").filter((line) => line !== "")
    .map((line) => JSON.parse(line) as Entry);
}
