/**
 * Entry point of the single binary.
 */
import process from "node:process";
import { runCommandLine } from "./application.ts";
import { INTERNAL_ERROR, SUCCESS } from "./exit_codes.ts";
import { loadDaemon, loadEvents } from "./optional_modules.ts";

async function main(): Promise<void> {
  const code = await runCommandLine(process.argv.slice(2), {
    print: (line) => process.stdout.write(`${line}\n`),
    warn: (line) => process.stderr.write(`${line}\n`),
    loadDaemon,
    loadEvents,
  });
  // After a daemon reached its shutdown limit, timers of abandoned work remain
  // and would keep the process running.
  process.exit(code);
}

// A reader such as `head` may close the pipe before all output is written.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
  process.exit(SUCCESS);
});

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = INTERNAL_ERROR;
});
