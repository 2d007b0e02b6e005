/**
 * Runs random schedules one after the other: prints each schedule, the
 * operations by outcome and the violations, and exits with 1 when there are
 * any.
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { checkHistory } from "./checks/mod.ts";
import type { Call, History } from "./history.ts";
import { runScenario, runSchedule } from "./run.ts";
import { describeFaults } from "./schedule.ts";
import { isScenario, type Scenario, SCENARIOS } from "./table.ts";
import { isMechanism } from "./weakened_build.ts";

const MINUTE_MILLISECONDS = 60_000;

const SECOND_MILLISECONDS = 1_000;

const CALLERS = 6;
const SHOWN_VIOLATIONS = 10;

function countOutcomes({ calls }: History): readonly string[] {
  const counts = new Map<string, number>();
  for (const call of calls) {
    const name = `${call.operation.type}: ${describeOutcome(call)}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].sort(([left], [right]) => left < right ? -1 : 1)
    .map(([name, count]) => `${String(count).padStart(7)}  ${name}`);
}

function describeOutcome({ outcome }: Call): string {
  switch (outcome?.type) {
    case undefined:
      return "not ended";
    case "answered": {
      const code = outcome.code === null ? "" : ` ${outcome.code}`;
      const ran = outcome.ran === null ? "" : ` (ran ${outcome.ran})`;
      return `${outcome.status}${code}${ran}${
        outcome.done ? "" : " not whole"
      }`;
    }
    case "broken":
      return `broken, ${outcome.stage}`;
    case "abandoned":
      return "abandoned";
    case "changed":
      return outcome.result;
  }
}

async function soak(seed: number, without: string): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-history-"));
  const file = join(folder, `history-${seed}.jsonl`);
  const history = await runSchedule({
    seed,
    file,
    length: Number(values.length) * SECOND_MILLISECONDS,
    callers: CALLERS,
    ...(isMechanism(without) ? { without } : {}),
    onPlan(faults) {
      console.log(`seed ${seed}\n${describeFaults(faults).join("\n")}`);
    },
  });
  console.log(`history: ${file}`);
  return report(history);
}

/** Runs one directed scenario. */
async function runNamed(name: string, without: string): Promise<number> {
  if (!isScenario(name)) throw new Error(`no scenario ${name}`);
  const scenario: Scenario = SCENARIOS[name];
  const history = await runScenario({
    seed: 1,
    ...scenario.options,
    ...(isMechanism(without) ? { without } : {}),
  }, scenario.run);
  console.log(`scenario ${name}, without ${without || "nothing"}`);
  return report(history);
}

function report(history: History): number {
  const violations = checkHistory(history);
  console.log(countOutcomes(history).join("\n"));
  console.log(`${violations.length} violations`);
  for (const { rule, message } of violations.slice(0, SHOWN_VIOLATIONS)) {
    console.log(`VIOLATION ${rule}: ${message}`);
  }
  return violations.length;
}

const { values } = parseArgs({
  options: {
    /** A directed scenario in place of schedules. */
    scenario: { type: "string", default: "" },
    seed: { type: "string", default: "1" },
    minutes: { type: "string", default: "1" },
    /** Seconds of one schedule; a longer soak runs several. */
    length: { type: "string", default: "45" },
    without: { type: "string", default: "" },
  },
});
if (values.without !== "" && !isMechanism(values.without)) {
  console.error(`no mechanism ${JSON.stringify(values.without)}`);
  process.exit(2);
}
if (values.scenario === "") await soakFor(Number(values.minutes));
else {process.exitCode = await runNamed(values.scenario, values.without) > 0
    ? 1
    : 0;}

async function soakFor(minutes: number): Promise<void> {
  const end = Date.now() + minutes * MINUTE_MILLISECONDS;
  let total = 0;
  for (
    let seed = Number(values.seed);
    seed === Number(values.seed) || Date.now() < end;
    seed += 1
  ) {
    total += await soak(seed, values.without);
  }
  process.exitCode = total === 0 ? 0 : 1;
}
