/**
 * `replay`: reserved for the replay of recorded traces.
 */
import { command, option, positional, string } from "cmd-ts";
import type { Environment } from "../environment.ts";
import { type ExitCode, WRONG_USAGE } from "../exit_codes.ts";

export function createReplay(environment: Environment) {
  return command({
    name: "replay",
    description: "replay a recorded trace (not part of this build)",
    args: {
      trace: positional({ type: string, displayName: "trace" }),
      outcomes: option({
        long: "outcomes",
        type: string,
        description: "file with the stated outcomes",
      }),
    },
    handler: (): ExitCode => {
      environment.warn("replay is not part of this build");
      return WRONG_USAGE;
    },
  });
}
