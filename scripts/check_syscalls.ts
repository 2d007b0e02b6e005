/**
 * Checks with strace that the started binary starts no process and uses
 * neither io_uring nor shared memory. A process that does start another one is
 * traced first, to show that the check would see it.
 */
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const BINARY = "dist/peridotvalve";
const FOLDER = "examples/koiratakki/operators";
const SETTINGS = "examples/koiratakki/settings/espoo-1.yaml";
const TOKEN = "examples/koiratakki/operator-token";
// The platform's port of the example; no daemon answers there.
const NO_DAEMON = "127.0.0.1:21001";

const SERVE_TIME = 5_000;
const LONGEST_RUN = 90_000;

const FORBIDDEN_CALLS: ReadonlySet<string> = new Set([
  "io_uring_setup",
  "shmget",
  "shm_open",
  "memfd_create",
  "fork",
  "vfork",
  "execve",
  "execveat",
]);
const THREAD_FLAG = "CLONE_THREAD";
const SHARED_MEMORY_FOLDER = '"/dev/shm';

// A line of `strace -f -o`: process id, name of the call, arguments.
const CALL = /^(\d+) +(\w+)\((.*)$/;

interface Run {
  readonly name: string;
  readonly command: readonly string[];
  /** Sends SIGTERM after this time, milliseconds. */
  readonly stopAfter?: number;
}

const RUNS: readonly Run[] = [
  { name: "--help", command: [BINARY, "--help"] },
  { name: "config check", command: [BINARY, "config", "check", FOLDER] },
  {
    name: "status without a daemon",
    command: [
      BINARY,
      "status",
      "--operators",
      NO_DAEMON,
      "--token-file",
      TOKEN,
      "--deadline",
      "500",
    ],
  },
  {
    name: "serve",
    command: [BINARY, "serve", "--settings", SETTINGS],
    stopAfter: SERVE_TIME,
  },
];

const CONTROL: Run = {
  name: "control",
  command: [
    process.execPath,
    "-e",
    'require("node:child_process").spawnSync("true")',
  ],
};

interface Trace {
  readonly calls: number;
  readonly violations: readonly string[];
  readonly exitCode: number | null;
  /** False when the process ended before it was to be stopped. */
  readonly stopped: boolean;
  readonly errors: string;
}

async function trace(run: Run): Promise<Trace> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-strace-"));
  const file = join(folder, "trace");
  const child = spawn("strace", ["-f", "-qq", "-o", file, ...run.command], {
    stdio: ["ignore", "ignore", "pipe"],
    timeout: LONGEST_RUN,
  });
  let errors = "";
  child.stderr.on("data", (chunk) => errors += chunk);
  const ended = new Promise<number | null>((resolve) => {
    child.on("close", resolve);
  });
  const stopped = run.stopAfter !== undefined &&
    await stopAfter(run.stopAfter, { child, file });
  const exitCode = await ended;
  const lines = readFileSync(file, "utf8").split("\n");
  rmSync(folder, { recursive: true });
  const violations = findViolations(lines);
  return { calls: lines.length, violations, exitCode, stopped, errors };
}

interface Stop {
  readonly child: ChildProcess;
  readonly file: string;
}

/** Returns whether the traced process was still running. */
async function stopAfter(
  delay: number,
  { child, file }: Stop,
): Promise<boolean> {
  const end = Date.now() + delay;
  while (Date.now() < end && child.exitCode === null) await sleep(50);
  if (child.exitCode !== null) return false;
  // The first line of the trace is the execve of the traced process.
  const id = Number.parseInt(readFileSync(file, "utf8"), 10);
  process.kill(id, "SIGTERM");
  return true;
}

function findViolations(lines: readonly string[]): readonly string[] {
  // The first call is the execve by which strace starts the program.
  return lines.slice(1).filter((line) => {
    const [, , name, args] = CALL.exec(line) ?? [];
    if (name === undefined || args === undefined) return false;
    if (name.startsWith("clone")) return !args.includes(THREAD_FLAG);
    if (name.startsWith("open")) return args.includes(SHARED_MEMORY_FOLDER);
    return FORBIDDEN_CALLS.has(name);
  });
}

async function main(): Promise<number> {
  if (spawnSync("strace", ["-V"]).error !== undefined) {
    console.log("strace is missing: the system calls were not checked");
    return 0;
  }
  const control = await trace(CONTROL);
  if (control.violations.length === 0) {
    console.log("the check does not see a child process of the control run");
    return 1;
  }
  console.log(`control: ${control.violations.length} forbidden calls seen`);
  let failed = false;
  for (const run of RUNS) {
    const result = await trace(run);
    failed ||= result.violations.length > 0;
    console.log(describe(run, result));
    for (const line of result.violations) console.log(`  ${line}`);
  }
  return failed ? 1 : 0;
}

function describe(run: Run, result: Trace): string {
  const { calls, violations, exitCode } = result;
  const text = `${run.name}: ${violations.length} forbidden of ${calls} ` +
    `traced lines, exit code ${exitCode}`;
  if (run.stopAfter === undefined || result.stopped) return text;
  return `${text}; ended by itself: ${result.errors.trim()}`;
}

process.exitCode = await main();
