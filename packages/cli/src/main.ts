/**
 * Entry point of the single binary.
 */
import process from "node:process";
import { runCommandLine } from "./application.ts";
import { loadDaemon, loadEvents } from "./optional_modules.ts";

async function main(): Promise<void> {
  process.exitCode = await runCommandLine(process.argv.slice(2), {
    print: (line) => process.stdout.write(`${line}\n`),
    warn: (line) => process.stderr.write(`${line}\n`),
    loadDaemon,
    loadEvents,
  });
}

void main();
