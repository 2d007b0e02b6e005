/**
 * Records the entries of a run in memory and, when a file is given, as JSON
 * lines in that file.
 */
import { appendFileSync, writeFileSync } from "node:fs";
import type { Entry, FaultName, Operation, Outcome } from "./records.ts";

export interface Recorder {
  entries(): readonly Entry[];
  add(entry: Entry): void;
  /** Records the invocation of a call, awaits the call and records its outcome. */
  run<Result extends Outcome>(
    operation: Operation,
    call: () => Promise<Result>,
  ): Promise<Result>;
  /** Records the start of a fault; the returned function records its end. */
  beginFault(
    fault: FaultName,
    target: string,
    detail: string,
  ): () => void;
}

export function createRecorder(file?: string): Recorder {
  const entries: Entry[] = [];
  let lastId = 0;
  if (file !== undefined) writeFileSync(file, "");

  function add(entry: Entry): void {
    entries.push(entry);
    if (file !== undefined) appendFileSync(file, `${JSON.stringify(entry)}\n`);
  }

  return {
    entries: () => entries,
    add,
    async run(operation, call) {
      lastId += 1;
      const id = lastId;
      add({ kind: "invoked", id, at: Date.now(), operation });
      const outcome = await call();
      add({ kind: "completed", id, at: Date.now(), outcome });
      return outcome;
    },
    beginFault(fault, target, detail) {
      lastId += 1;
      const id = lastId;
      const common = { kind: "fault", id, fault, target, detail } as const;
      add({ ...common, phase: "begin", at: Date.now() });
      return () => add({ ...common, phase: "end", at: Date.now() });
    },
  };
}
