/**
 * `config check`: validates an operators' folder without applying it.
 */
import { formatProblem, readFolder } from "@peridotvalve/settings";
import { command, positional, string } from "cmd-ts";
import { json } from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { type ExitCode, REJECTED, SUCCESS } from "../exit_codes.ts";

export function createConfigCheck(environment: Environment) {
  return command({
    name: "check",
    description: "check an operators' folder",
    args: { folder: positional({ type: string, displayName: "folder" }), json },
    handler: (options) => check(options, environment),
  });
}

interface Options {
  readonly folder: string;
  readonly json: boolean;
}

async function check(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const { folder } = options;
  const result = await readFolder(folder);
  const problems = result.isErr() ? result.error : [];
  if (options.json) {
    const ok = problems.length === 0;
    environment.print(JSON.stringify({ folder, ok, problems }));
  } else if (problems.length === 0) {
    environment.print(`${folder}: no problems`);
  } else {
    for (const problem of problems) environment.warn(formatProblem(problem));
  }
  return problems.length === 0 ? SUCCESS : REJECTED;
}
