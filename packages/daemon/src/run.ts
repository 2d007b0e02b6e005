/**
 * Runs a daemon as a process until it receives a termination signal.
 */
import { once } from "node:events";
import type { ProcessSettings } from "@peridotvalve/settings";
import { Ok, type Result } from "ts-results-es";
import { createDaemon, type DaemonOptions } from "./daemon.ts";

/**
 * Serves until SIGTERM or SIGINT, then shuts down gracefully. Further signals
 * are ignored: a shutdown in progress must not abort requests. Returns an error
 * if the daemon cannot be started.
 */
export async function runDaemon(
  settings: ProcessSettings,
  options: DaemonOptions = {},
): Promise<Result<void, string>> {
  const signalled = Promise.race([
    once(process, "SIGTERM").then(() => "SIGTERM"),
    once(process, "SIGINT").then(() => "SIGINT"),
  ]);
  const ignore = () => {};
  process.on("SIGTERM", ignore);
  process.on("SIGINT", ignore);
  const daemon = await createDaemon(settings, options);
  if (daemon.isErr()) return daemon;
  await daemon.value.stop(await signalled);
  return Ok(undefined);
}
