/**
 * `config apply`: validates a folder, sends it to a daemon and waits until all
 * daemons have adopted it.
 */
import { randomUUID } from "node:crypto";
import { formatProblem, readFolder } from "@peridotvalve/settings";
import { command, option, optional, positional, string } from "cmd-ts";
import {
  deadline,
  json,
  nonNegativeIntegerType,
  operators,
  token,
  withClient,
} from "../arguments.ts";
import { applyConfiguration, type ApplyReport } from "../apply.ts";
import type { Environment } from "../environment.ts";
import { type ExitCode, REJECTED } from "../exit_codes.ts";

// Guarantee 9 of the design targets 5 s; the rest allows for a slow platform.
const DEFAULT_WAIT_MS = 15_000;

export function createConfigApply(environment: Environment) {
  return command({
    name: "apply",
    description:
      "apply an operators' folder and wait until all daemons have adopted it",
    args: {
      folder: positional({ type: string, displayName: "folder" }),
      operators,
      token,
      expect: option({
        long: "expect",
        type: optional(nonNegativeIntegerType),
        description: "reject unless this version is the newest",
      }),
      wait: option({
        long: "wait",
        type: nonNegativeIntegerType,
        defaultValue: () => DEFAULT_WAIT_MS,
        defaultValueIsSerializable: true,
        description: "maximum time to wait for adoption, milliseconds",
      }),
      deadline,
      json,
    },
    handler: (options) => apply(options, environment),
  });
}

interface Options {
  readonly folder: string;
  readonly operators: string;
  readonly token: string;
  readonly expect: number | undefined;
  readonly wait: number;
  readonly deadline: number;
  readonly json: boolean;
}

async function apply(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const content = await readFolder(options.folder);
  if (content.isErr()) {
    for (const problem of content.error) {
      environment.warn(formatProblem(problem));
    }
    return REJECTED;
  }
  const { operators: address, token, deadline, expect, wait } = options;
  const change = randomUUID();
  const report = await withClient(
    { address, token, deadline },
    (client) =>
      applyConfiguration(client, {
        content: content.value,
        change,
        wait,
        ...(expect === undefined ? {} : { expect }),
      }),
  );
  show(report, { json: options.json, environment });
  return report.exitCode;
}

function show(
  report: ApplyReport,
  { json, environment }: {
    readonly json: boolean;
    readonly environment: Environment;
  },
): void {
  const { exitCode, messages, ...fields } = report;
  if (json) environment.print(JSON.stringify({ ...fields, exitCode }));
  else if (report.outcome === "accepted") {
    environment.print(`version ${report.version} accepted`);
  }
  for (const message of messages) environment.warn(message);
}
