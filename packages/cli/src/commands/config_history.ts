/**
 * `config history`: lists the newest changes of the configuration.
 */
import { command, option } from "cmd-ts";
import { historyResponseSchema } from "../response_schemas.ts";
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

const DEFAULT_LIMIT = 20;

export function createConfigHistory(environment: Environment) {
  return command({
    name: "history",
    description: "list changes, newest first",
    args: {
      limit: option({
        long: "limit",
        type: nonNegativeIntegerType,
        defaultValue: () => DEFAULT_LIMIT,
        defaultValueIsSerializable: true,
        description: "number of changes",
      }),
      operators,
      token,
      deadline,
      json,
    },
    handler: (options) =>
      list({ ...options, address: options.operators }, environment),
  });
}

interface Options extends ClientOptions {
  readonly limit: number;
  readonly json: boolean;
}

async function list(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const path = `/configuration/history?limit=${options.limit}`;
  const response = await withClient(
    options,
    (client) => client.get(path, historyResponseSchema),
  );
  if (response.isErr()) {
    environment.warn(response.error.message);
    return exitCodeOf(response.error);
  }
  if (options.json) environment.print(JSON.stringify(response.value));
  else {
    for (const { version, change, at } of response.value.entries) {
      const time = at === undefined ? "-" : new Date(at).toISOString();
      environment.print(`${version}\t${time}\t${change}`);
    }
  }
  return SUCCESS;
}
