/**
 * `config show`: prints a stored configuration.
 */
import { command, option, optional } from "cmd-ts";
import { stringify } from "yaml";
import { configurationAnswer } from "../answers.ts";
import {
  deadline,
  json,
  operators,
  token,
  wholeType,
  withClient,
} from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { DONE, type ExitCode } from "../exit_codes.ts";
import { type ClientOptions, exitCodeOf } from "../operators_client.ts";

export function createConfigShow(environment: Environment) {
  return command({
    name: "show",
    description: "print a configuration",
    args: {
      version: option({
        long: "version",
        type: optional(wholeType),
        description: "version to print; the newest when absent",
      }),
      operators,
      token,
      deadline,
      json,
    },
    handler: (options) =>
      show({ ...options, address: options.operators }, environment),
  });
}

interface Options extends ClientOptions {
  readonly version: number | undefined;
  readonly json: boolean;
}

async function show(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const query = options.version === undefined
    ? ""
    : `?version=${options.version}`;
  const answer = await withClient(
    options,
    (client) => client.get(`/configuration${query}`, configurationAnswer),
  );
  if (answer.isErr()) {
    environment.warn(answer.error.message);
    return exitCodeOf(answer.error);
  }
  const { version, change, content } = answer.value;
  if (options.json) {
    environment.print(JSON.stringify({ version, change, content }));
  } else {
    environment.print(`# version ${version}, change ${change}`);
    environment.print(stringify(content).trimEnd());
  }
  return DONE;
}
