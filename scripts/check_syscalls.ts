/**
 * Checks with strace that the started binary starts no process and uses
 * neither io_uring nor shared memory, and that a daemon ends after SIGTERM. A
 * process that does start another one is traced first, to show that the check
 * would see it.
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
// The settings give the balancer 5 s; there are no requests to finish.
const LONGEST_SHUTDOWN = 20_000;

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

type End = "by itself" | "after SIGTERM" | "after SIGKILL";

interface Trace {
  readonly calls: number;
  readonly violations: readonly string[];
  readonly exitCode: number | null;
  readonly end: End;
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
  const end = run.stopAfter === undefined
    ? "by itself"
    : await stopAfter(run.stopAfter, { child, file });
  const exitCode = await ended;
  const lines = readFileSync(file, "utf8").split("\n");
  rmSync(folder, { recursive: true });
  const violations = findViolations(lines);
  return { calls: lines.length, violations, exitCode, end, errors };
}

interface Stop {
  readonly child: ChildProcess;
  readonly file: string;
}

/** Returns how the traced process ended. */
async function stopAfter(
  delay: number,
  { child, file }: Stop,
): Promise<End> {
  if (await hasEnded(child, delay)) return "by itself";
  // The first line of the trace is the execve of the traced process. Ending
  // strace instead would leave that process running.
  const id = Number.parseInt(readFileSync(file, "utf8"), 10);
  process.kill(id, "SIGTERM");
  if (await hasEnded(child, LONGEST_SHUTDOWN)) return "after SIGTERM";
  process.kill(id, "SIGKILL");
  return "after SIGKILL";
}

async function hasEnded(child: ChildProcess, limit: number): Promise<boolean> {
  const end = Date.now() + limit;
  while (Date.now() < end && child.exitCode === null) await sleep(50);
  return child.exitCode !== null;
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
    failed ||= result.violations.length > 0 || result.end === "after SIGKILL";
    console.log(describe(run, result));
    for (const line of result.violations) console.log(`  ${line}`);
  }
  return failed ? 1 : 0;
}

function describe(run: Run, result: Trace): string {
  const { calls, violations, exitCode, end } = result;
  const text = `${run.name}: ${violations.length} forbidden of ${calls} ` +
    `traced lines, exit code ${exitCode}, ended ${end}`;
  if (run.stopAfter === undefined || end === "after SIGTERM") return text;
  return `${text}: ${result.errors.trim()}`;
}

process.exitCode = await main();
