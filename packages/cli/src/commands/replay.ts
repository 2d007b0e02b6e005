/**
 * `replay`: sends a recorded trace to running daemons and checks the expected
 * outcomes, or generates a trace.
 */
import {
  array,
  command,
  multioption,
  number,
  option,
  optional,
  positional,
  string,
} from "cmd-ts";
import { readFile, writeFile } from "node:fs/promises";
import { addressType } from "../arguments.ts";
import type { Environment } from "../environment.ts";
import {
  type ExitCode,
  REJECTED,
  SUCCESS,
  USAGE_ERROR,
} from "../exit_codes.ts";

interface Arguments {
  readonly trace: string | undefined;
  readonly outcomes: string | undefined;
  readonly daemons: readonly string[];
  readonly keys: string | undefined;
  readonly report: string | undefined;
  readonly plot: string | undefined;
  readonly generate: string | undefined;
  readonly seed: number;
  readonly minutes: number;
  readonly rate: number;
}

const file = optional(string);
const MINUTE_MS = 60_000;

export function createReplay(environment: Environment) {
  return command({
    name: "replay",
    description: "replay a recorded trace and check the expected outcomes",
    args: {
      trace: positional({ type: file, displayName: "trace" }),
      outcomes: option({
        long: "outcomes",
        type: file,
        description: "file with the expected outcomes",
      }),
      daemons: multioption({
        long: "daemon",
        type: array(addressType),
        description: "callers' listener of a daemon",
      }),
      keys: option({
        long: "keys",
        type: file,
        description: "JSON file with the API key of each customer",
      }),
      // Not named "json", because cmd-ts confuses such an option with the flag
      // `--json` of the other commands.
      report: option({
        long: "report",
        type: file,
        description: "file for the report as JSON",
      }),
      plot: option({ long: "plot", type: file, description: "SVG plot" }),
      generate: option({
        long: "generate",
        type: file,
        description:
          "print a generated trace in the shape of this deployment instead",
      }),
      seed: option({
        long: "seed",
        type: number,
        defaultValue: () => 1,
        description: "seed of the generated trace",
      }),
      minutes: option({
        long: "minutes",
        type: number,
        defaultValue: () => 1,
        description: "length of the generated trace",
      }),
      rate: option({
        long: "rate",
        type: number,
        defaultValue: () => 8,
        description: "mean requests per second of the generated trace",
      }),
    },
    handler: (args): Promise<ExitCode> =>
      args.generate === undefined
        ? replay(environment, args)
        : generate(environment, args),
  });
}

async function generate(
  environment: Environment,
  { generate: name, seed, minutes, rate }: Arguments,
): Promise<ExitCode> {
  const { WORKLOADS, generateTrace } = await import(
    "@peridotvalve/replay"
  );
  const shape = WORKLOADS[name ?? ""];
  if (shape === undefined) {
    environment.warn(
      `no shape "${name}": ${Object.keys(WORKLOADS).join(", ")}`,
    );
    return USAGE_ERROR;
  }
  const options = { seed, rate, duration: minutes * MINUTE_MS };
  for (const request of generateTrace(shape, options)) {
    environment.print(JSON.stringify(request));
  }
  return SUCCESS;
}

async function replay(
  environment: Environment,
  args: Arguments,
): Promise<ExitCode> {
  const { trace, outcomes, daemons, keys } = args;
  const failUsage = (text: string): ExitCode => {
    environment.warn(text);
    return USAGE_ERROR;
  };
  if (trace === undefined) return failUsage("a trace is required");
  if (outcomes === undefined) return failUsage("--outcomes is required");
  if (daemons.length === 0) return failUsage("--daemon is required");
  const {
    checkOutcomes,
    countOrders,
    createPlot,
    formatTable,
    computeMeasures,
    parseOutcomes,
    parseTrace,
    replayTrace,
  } = await import("@peridotvalve/replay");
  const texts = await Promise.all(
    [trace, outcomes, ...(keys === undefined ? [] : [keys])].map(readText),
  );
  const [traceText, outcomesText, keysText = "{}"] = texts;
  if (traceText === undefined) return failUsage(`cannot read ${trace}`);
  if (outcomesText === undefined) return failUsage(`cannot read ${outcomes}`);
  const requests = parseTrace(traceText);
  if (requests.isErr()) return failUsage(`${trace}: ${requests.error}`);
  const expected = parseOutcomes(outcomesText);
  if (expected.isErr()) return failUsage(`${outcomes}: ${expected.error}`);
  const sent = await replayTrace(requests.value, {
    daemons,
    keys: JSON.parse(keysText) as Readonly<Record<string, string>>,
    faults: expected.value.faults,
  });
  const measures = computeMeasures(sent);
  const services = expected.value.ordersRunOnceAt;
  const checks = checkOutcomes(expected.value, {
    ...{ sent, measures },
    ...(services === undefined ? {} : { runs: await countOrders(services) }),
  });
  for (const line of formatTable(measures, checks)) environment.print(line);
  const report = { measures, checks };
  if (args.report !== undefined) {
    await writeFile(args.report, `${JSON.stringify(report, null, 2)}\n`);
  }
  if (args.plot !== undefined) await writeFile(args.plot, createPlot(sent));
  return checks.every(({ passed }) => passed) ? SUCCESS : REJECTED;
}

function readText(path: string): Promise<string | undefined> {
  return readFile(path, "utf8").catch(() => undefined);
}
