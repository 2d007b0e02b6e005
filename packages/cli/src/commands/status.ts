/**
 * `status`: prints the state of a daemon.
 */
import { command } from "cmd-ts";
import { deadline, json, operators, token } from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { showRecord } from "../show_record.ts";

export function createStatus(environment: Environment) {
  return command({
    name: "status",
    description: "print the state of a daemon",
    args: { operators, token, deadline, json },
    handler: (options) =>
      showRecord("/status", {
        ...options,
        address: options.operators,
        environment,
      }),
  });
}
