/**
 * `config show`: prints a stored configuration.
 */
import { command, option, optional } from "cmd-ts";
import { stringify } from "yaml";
import { configurationResponseSchema } from "../response_schemas.ts";
import {
  deadline,
  json,
  nonNegativeIntegerType,
  operators,
  token,
  withClient,
} from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { type ExitCode, SUCCESS } from "../exit_codes.ts";
import { type ClientOptions, exitCodeOf } from "../operators_client.ts";

export function createConfigShow(environment: Environment) {
  return command({
    name: "show",
    description: "print a configuration",
    args: {
      version: option({
        long: "version",
        type: optional(nonNegativeIntegerType),
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
  const response = await withClient(
    options,
    (client) =>
      client.get(`/configuration${query}`, configurationResponseSchema),
  );
  if (response.isErr()) {
    environment.warn(response.error.message);
    return exitCodeOf(response.error);
  }
  const { version, change, content } = response.value;
  if (options.json) {
    environment.print(JSON.stringify({ version, change, content }));
  } else {
    environment.print(`# version ${version}, change ${change}`);
    environment.print(stringify(content).trimEnd());
  }
  return SUCCESS;
}
