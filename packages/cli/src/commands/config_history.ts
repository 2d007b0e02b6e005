/**
 * `config history`: lists the newest changes of the configuration.
 */
import { command, option } from "cmd-ts";
import { historyAnswer } from "../answers.ts";
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

const DEFAULT_LIMIT = 20;

export function createConfigHistory(environment: Environment) {
  return command({
    name: "history",
    description: "list changes, newest first",
    args: {
      limit: option({
        long: "limit",
        type: wholeType,
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
  const answer = await withClient(
    options,
    (client) => client.get(path, historyAnswer),
  );
  if (answer.isErr()) {
    environment.warn(answer.error.message);
    return exitCodeOf(answer.error);
  }
  if (options.json) environment.print(JSON.stringify(answer.value));
  else {
    for (const { version, change, at } of answer.value.entries) {
      const time = at === undefined ? "-" : new Date(at).toISOString();
      environment.print(`${version}\t${time}\t${change}`);
    }
  }
  return DONE;
}
