/**
 * Defines the command tree and runs it with given arguments.
 */
import { runSafely, subcommands } from "cmd-ts";
import { createConfigApply } from "./commands/config_apply.ts";
import { createConfigCheck } from "./commands/config_check.ts";
import { createConfigDiff } from "./commands/config_diff.ts";
import { createConfigHistory } from "./commands/config_history.ts";
import { createConfigShow } from "./commands/config_show.ts";
import { createEvents } from "./commands/events.ts";
import { createOrdersShow } from "./commands/orders_show.ts";
import { createReplay } from "./commands/replay.ts";
import { createServe } from "./commands/serve.ts";
import { createStatus } from "./commands/status.ts";
import { createTimeline } from "./commands/timeline.ts";
import type { Environment } from "./environment.ts";
import { type ExitCode, SUCCESS, USAGE_ERROR } from "./exit_codes.ts";
import { version } from "./version.ts";

/** Runs the command named by the arguments and returns its exit code. */
export async function runCommandLine(
  args: readonly string[],
  environment: Environment,
): Promise<ExitCode> {
  const application = createApplication(environment);
  const result = await runSafely(application, [...args]);
  if (result._tag === "ok") return await exitCodeOf(result.value);
  const { message, into } = result.error.config;
  if (into === "stdout") {
    environment.print(message);
    return SUCCESS;
  }
  environment.warn(message);
  return USAGE_ERROR;
}

interface NestedResult {
  readonly value: ExitCode | Promise<ExitCode> | NestedResult;
}

// cmd-ts wraps the result of a command once per level of subcommands.
async function exitCodeOf(result: NestedResult): Promise<ExitCode> {
  const value = await result.value;
  return typeof value === "number" ? value : await exitCodeOf(value);
}

function createApplication(environment: Environment) {
  const config = subcommands({
    name: "config",
    description: "check, apply and compare configurations",
    cmds: {
      check: createConfigCheck(environment),
      apply: createConfigApply(environment),
      show: createConfigShow(environment),
      history: createConfigHistory(environment),
      diff: createConfigDiff(environment),
    },
  });
  const orders = subcommands({
    name: "orders",
    description: "look up orders",
    cmds: { show: createOrdersShow(environment) },
  });
  return subcommands({
    name: "peridotvalve",
    description: "serving system for prompts that return after long gaps",
    version,
    cmds: {
      serve: createServe(environment),
      config,
      status: createStatus(environment),
      timeline: createTimeline(environment),
      orders,
      replay: createReplay(environment),
      events: createEvents(environment),
    },
  });
}
