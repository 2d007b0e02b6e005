/**
 * `events`: prints the event catalogue.
 */
import { command } from "cmd-ts";
import { json } from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { type ExitCode, SUCCESS, USAGE_ERROR } from "../exit_codes.ts";

export function createEvents(environment: Environment) {
  return command({
    name: "events",
    description: "list the event catalogue",
    args: { json },
    handler: (options) => list(options.json, environment),
  });
}

async function list(
  asJson: boolean,
  environment: Environment,
): Promise<ExitCode> {
  const events = await environment.loadEvents();
  if (events === undefined) {
    environment.warn("the events package is not part of this build");
    return USAGE_ERROR;
  }
  const catalogue = events.listEvents();
  if (asJson) environment.print(JSON.stringify(catalogue));
  else {
    for (const { number, name, level, description } of catalogue) {
      environment.print(`${number}\t${name}\t${level}\t${description}`);
    }
  }
  return SUCCESS;
}
