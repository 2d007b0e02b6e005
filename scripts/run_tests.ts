/**
 * Runs the tests and decides the verdict. Tests listed in KNOWN-RED.txt run
 * and are printed with their outcome, but do not change the verdict; any other
 * failure does.
 *
 * An entry of KNOWN-RED.txt is a line `test: FILE :: NAME`; the lines below it
 * up to the next entry are for readers.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join, relative } from "node:path";
import { run } from "node:test";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const ENTRY = /^test: (.+)$/;

const TEST_FOLDERS = ["packages", "platform"];

// End-to-end tests start up to a dozen processes each on a ten-core machine.
const PARALLEL_FILES = 3;

// A test that hangs must fail instead of stopping the whole run.
const FILE_TIMEOUT_MILLISECONDS = 240_000;

interface Outcome {
  readonly id: string;
  readonly passed: boolean;
  readonly skipped: boolean;
  readonly detail: string;
}

function readKnownRed(): ReadonlySet<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  const ids = lines.flatMap((line) => ENTRY.exec(line)?.[1] ?? []);
  return new Set(ids);
}

function findTestFiles(): readonly string[] {
  return TEST_FOLDERS.flatMap((folder) => {
    const entries = readdirSync(folder, { recursive: true }) as string[];
    return entries
      .filter((entry) => !entry.includes("node_modules"))
      .filter((entry) => entry.endsWith(".test.ts"))
      .map((entry) => join(folder, entry));
  }).sort();
}

async function* runFiles(files: readonly string[]): AsyncGenerator<Outcome> {
  const stream = run({
    files: [...files],
    concurrency: PARALLEL_FILES,
    timeout: FILE_TIMEOUT_MILLISECONDS,
  });
  for await (const event of stream) {
    if (event.type === "test:stderr") process.stderr.write(event.data.message);
    if (event.type !== "test:pass" && event.type !== "test:fail") continue;
    const data = event.data;
    // A file's own entry repeats the outcome of its tests, unless it died.
    const error = "error" in data.details
      ? data.details.error as { failureType?: string; cause?: unknown }
      : undefined;
    if (error?.failureType === "subtestsFailed") continue;
    if (data.file === undefined || files.includes(data.name)) {
      if (event.type === "test:pass") continue;
    }
    yield {
      id: `${relative(process.cwd(), data.file ?? "")} :: ${data.name}`,
      passed: event.type === "test:pass",
      skipped: data.skip !== undefined && data.skip !== false,
      detail: error === undefined ? "" : describeError(error),
    };
  }
}

function describeError(error: { readonly cause?: unknown }): string {
  const cause = error.cause;
  if (cause instanceof Error) return cause.stack ?? cause.message;
  return String(cause ?? error);
}

async function main(): Promise<void> {
  const named = process.argv.slice(2);
  const known = readKnownRed();
  const files = named.length > 0 ? named : findTestFiles();
  let passed = 0;
  let failed = 0;
  let skipped = 0;
  for await (const outcome of runFiles(files)) {
    if (known.has(outcome.id)) {
      const state = outcome.passed ? "PASSES, remove its entry" : "fails";
      console.log(`known red: ${outcome.id}: ${state}`);
      continue;
    }
    if (outcome.skipped) skipped += 1;
    else if (outcome.passed) passed += 1;
    else failed += 1;
    if (!outcome.passed) console.log(`FAILED ${outcome.id}\n${outcome.detail}`);
  }
  console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
}

await main();
