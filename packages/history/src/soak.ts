/**
 * Command line that runs seeded fault schedules one after the other, or one
 * directed scenario. Prints each schedule, the number of operations by outcome
 * and the violations; exits with 1 when there are violations, with 2 when the
 * mechanism is unknown.
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { checkHistory } from "./checks/mod.ts";
import type { Call, History } from "./history.ts";
import { runScenario, runSchedule } from "./run.ts";
import { describeFaults } from "./schedule.ts";
import { isScenario, type Scenario, SCENARIOS } from "./scenario_table.ts";
import { isMechanism } from "./weakened_build.ts";

const MINUTE_MILLISECONDS = 60_000;
const SECOND_MILLISECONDS = 1_000;

const CALLERS = 6;
const MAX_SHOWN_VIOLATIONS = 10;

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
      return "not completed";
    case "answered": {
      const code = outcome.code === null ? "" : ` ${outcome.code}`;
      const ran = outcome.ran === null ? "" : ` (ran ${outcome.ran})`;
      return `${outcome.status}${code}${ran}${
        outcome.done ? "" : " incomplete"
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

async function runSeed(seed: number, without: string): Promise<number> {
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
  return printReport(history);
}

/** Runs one directed scenario and returns the number of violations. */
async function runNamedScenario(
  name: string,
  without: string,
): Promise<number> {
  if (!isScenario(name)) throw new Error(`unknown scenario ${name}`);
  const scenario: Scenario = SCENARIOS[name];
  const history = await runScenario({
    seed: 1,
    ...scenario.options,
    ...(isMechanism(without) ? { without } : {}),
  }, scenario.run);
  console.log(`scenario ${name}, without ${without || "nothing"}`);
  return printReport(history);
}

function printReport(history: History): number {
  const violations = checkHistory(history);
  console.log(countOutcomes(history).join("\n"));
  console.log(`${violations.length} violations`);
  for (const { rule, message } of violations.slice(0, MAX_SHOWN_VIOLATIONS)) {
    console.log(`VIOLATION ${rule}: ${message}`);
  }
  return violations.length;
}

const { values } = parseArgs({
  options: {
    /** Name of a directed scenario to run instead of schedules. */
    scenario: { type: "string", default: "" },
    seed: { type: "string", default: "1" },
    minutes: { type: "string", default: "1" },
    /** Length of one schedule in seconds; a longer soak runs several. */
    length: { type: "string", default: "45" },
    without: { type: "string", default: "" },
  },
});
if (values.without !== "" && !isMechanism(values.without)) {
  console.error(`unknown mechanism ${JSON.stringify(values.without)}`);
  process.exit(2);
}
if (values.scenario === "") await runSeeds(Number(values.minutes));
else {process.exitCode =
    await runNamedScenario(values.scenario, values.without) > 0 ? 1 : 0;}

async function runSeeds(minutes: number): Promise<void> {
  const end = Date.now() + minutes * MINUTE_MILLISECONDS;
  let total = 0;
  for (
    let seed = Number(values.seed);
    seed === Number(values.seed) || Date.now() < end;
    seed += 1
  ) {
    total += await runSeed(seed, values.without);
  }
  process.exitCode = total === 0 ? 0 : 1;
}
