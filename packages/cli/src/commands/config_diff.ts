/**
 * `config diff`: lists the paths at which two configurations differ. Each of
 * them is an operators' folder or the number of a stored version.
 */
import {
  diffConfigurations,
  type Difference,
  formatProblem,
  readConfiguration,
  readFolder,
} from "@peridotvalve/settings";
import type { Configuration } from "@peridotvalve/types";
import { command, positional, string } from "cmd-ts";
import { Err, Ok, type Result } from "ts-results-es";
import { configurationResponseSchema } from "../response_schemas.ts";
import {
  deadline,
  json,
  optionalOperators,
  optionalToken,
  withClient,
} from "../arguments.ts";
import type { Environment } from "../environment.ts";
import {
  type ExitCode,
  REJECTED,
  SUCCESS,
  USAGE_ERROR,
} from "../exit_codes.ts";
import { exitCodeOf } from "../operators_client.ts";

const VERSION = /^[0-9]+$/;

export function createConfigDiff(environment: Environment) {
  return command({
    name: "diff",
    description: "list the differences between folders or stored versions",
    args: {
      left: positional({ type: string, displayName: "folder or version" }),
      right: positional({ type: string, displayName: "folder or version" }),
      operators: optionalOperators,
      token: optionalToken,
      deadline,
      json,
    },
    handler: (options) => diff(options, environment),
  });
}

interface Options {
  readonly left: string;
  readonly right: string;
  readonly operators: string | undefined;
  readonly token: string | undefined;
  readonly deadline: number;
  readonly json: boolean;
}

interface ReadFailure {
  readonly exitCode: ExitCode;
  readonly messages: readonly string[];
}

async function diff(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const left = await readSource(options.left, options);
  const right = await readSource(options.right, options);
  for (const result of [left, right]) {
    if (result.isOk()) continue;
    result.error.messages.forEach(environment.warn);
    return result.error.exitCode;
  }
  const differences = diffConfigurations(left.unwrap(), right.unwrap());
  if (options.json) environment.print(JSON.stringify(differences));
  else differences.map(describe).forEach(environment.print);
  return SUCCESS;
}

function describe({ kind, path, left, right }: Difference): string {
  if (kind === "added") return `+ ${path}: ${JSON.stringify(right)}`;
  if (kind === "removed") return `- ${path}: ${JSON.stringify(left)}`;
  return `~ ${path}: ${JSON.stringify(left)} -> ${JSON.stringify(right)}`;
}

async function readSource(
  source: string,
  options: Options,
): Promise<Result<Configuration, ReadFailure>> {
  if (VERSION.test(source)) return await readVersion(source, options);
  const folder = await readFolder(source);
  return folder.mapErr((problems) => ({
    exitCode: REJECTED,
    messages: problems.map(formatProblem),
  }));
}

async function readVersion(
  version: string,
  { operators, token, deadline }: Options,
): Promise<Result<Configuration, ReadFailure>> {
  if (operators === undefined || token === undefined) {
    const message = "a version number needs --operators and --token-file";
    return Err({ exitCode: USAGE_ERROR, messages: [message] });
  }
  const response = await withClient(
    { address: operators, token, deadline },
    (client) =>
      client.get(
        `/configuration?version=${version}`,
        configurationResponseSchema,
      ),
  );
  if (response.isErr()) {
    const { message } = response.error;
    return Err({ exitCode: exitCodeOf(response.error), messages: [message] });
  }
  const content = readConfiguration(JSON.stringify(response.value.content));
  if (content.isOk()) return Ok(content.value);
  const messages = content.error.map(formatProblem);
  return Err({ exitCode: REJECTED, messages });
}
