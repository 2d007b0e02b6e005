/**
 * `serve`: runs a daemon until it receives SIGTERM.
 */
import { formatProblem, readProcessSettings } from "@peridotvalve/settings";
import { command, option, string } from "cmd-ts";
import type { Environment } from "../environment.ts";
import {
  type ExitCode,
  REJECTED,
  SUCCESS,
  USAGE_ERROR,
} from "../exit_codes.ts";

export function createServe(environment: Environment) {
  return command({
    name: "serve",
    description: "run a daemon until SIGTERM",
    args: {
      settings: option({
        long: "settings",
        type: string,
        description: "settings file of the process",
      }),
    },
    handler: ({ settings }) => serve(settings, environment),
  });
}

async function serve(
  file: string,
  environment: Environment,
): Promise<ExitCode> {
  const settings = await readProcessSettings(file);
  if (settings.isErr()) {
    for (const problem of settings.error) {
      environment.warn(formatProblem(problem));
    }
    return REJECTED;
  }
  const daemon = await environment.loadDaemon();
  if (daemon === undefined) {
    environment.warn("the daemon is not part of this build");
    return USAGE_ERROR;
  }
  const stopped = await daemon.runDaemon(settings.value);
  if (stopped.isOk()) return SUCCESS;
  environment.warn(stopped.error);
  return REJECTED;
}
