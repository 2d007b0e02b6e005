/**
 * Checks with strace that the binary starts no process and uses neither io_uring
 * nor shared memory, and that a daemon that has handled requests exits after
 * SIGTERM with code 0. First traces a control program that does start a process,
 * to verify that the check detects it.
 */
import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  buildBinary,
  type Deployment,
  shortenBalancerDelay,
  startDeployment,
} from "@peridotvalve/testbed";

const EXAMPLE = "examples/koiratakki";
const OPERATORS_FOLDER = "examples/koiratakki/operators";
const DAEMON = "espoo-1";
const CUSTOMER = "pet-shops-uusimaa";
const MODEL = "shop-app";
const TOKEN_FILE = "examples/koiratakki/operator-token";
// Port of the platform in the example; no daemon listens there.
const UNUSED_ADDRESS = "127.0.0.1:21001";

const RUN_TIMEOUT_MS = 90_000;
// Daemons start more slowly, in some seconds, under strace.
const START_TIMEOUT_MS = 30_000;
const SHUTDOWN_TIMEOUT_MS = 20_000;

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
  /** Sends requests to the process, which is stopped by SIGTERM afterwards. */
  readonly exercise?: () => Promise<void>;
}

function listRuns(binary: string, deployment: Deployment): readonly Run[] {
  const settings = join(deployment.folder, "settings", `${DAEMON}.yaml`);
  return [
    { name: "--help", command: [binary, "--help"] },
    {
      name: "config check",
      command: [binary, "config", "check", OPERATORS_FOLDER],
    },
    {
      name: "status without a daemon",
      command: [
        binary,
        "status",
        "--operators",
        UNUSED_ADDRESS,
        "--token-file",
        TOKEN_FILE,
        "--deadline",
        "500",
      ],
    },
    {
      name: "serve",
      command: [binary, "serve", "--settings", settings],
      exercise: () => sendRequests(deployment),
    },
  ];
}

/** Sends a streamed completion, an order and a look-up; throws if one fails. */
async function sendRequests(deployment: Deployment): Promise<void> {
  const origin = `http://${deployment.addressOf(DAEMON)}`;
  const operators = deployment.settings.get(DAEMON)?.listeners.operators;
  const end = Date.now() + START_TIMEOUT_MS;
  while (!await isReady(`http://${operators}/readyz`)) {
    if (Date.now() > end) throw new Error("daemon not ready within 30 s");
    await sleep(100);
  }
  const authorization = `Bearer ${deployment.keys[CUSTOMER]}`;
  const message = { role: "user", content: "Chest 62 cm [[tokens=5]]" };
  const requests: readonly (readonly [string, RequestInit])[] = [
    ["/v1/chat/completions", {
      method: "POST",
      body: JSON.stringify({ model: MODEL, stream: true, messages: [message] }),
    }],
    ["/services/bookings/orders", {
      method: "POST",
      headers: { "idempotency-key": "order-traced" },
      body: "{}",
    }],
    ["/services/stock/stock/rain-coat", {}],
  ];
  for (const [path, options] of requests) {
    const headers = { ...options.headers, authorization };
    const response = await fetch(`${origin}${path}`, { ...options, headers });
    const text = await response.text();
    if (!response.ok) throw new Error(`${path}: ${response.status} ${text}`);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    return (await fetch(url)).ok;
  } catch {
    return false;
  }
}

const CONTROL: Run = {
  name: "control",
  command: [
    process.execPath,
    "-e",
    'require("node:child_process").spawnSync("true")',
  ],
};

type Termination = "by itself" | "after SIGTERM" | "after SIGKILL";

interface Trace {
  readonly calls: number;
  readonly violations: readonly string[];
  readonly exitCode: number | null;
  readonly end: Termination;
  readonly errors: string;
}

async function trace(run: Run): Promise<Trace> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-strace-"));
  const file = join(folder, "trace");
  const child = spawn("strace", ["-f", "-qq", "-o", file, ...run.command], {
    stdio: ["ignore", "ignore", "pipe"],
    timeout: RUN_TIMEOUT_MS,
  });
  let errors = "";
  child.stderr.on("data", (chunk) => errors += chunk);
  const ended = new Promise<number | null>((resolve) => {
    child.on("close", resolve);
  });
  const end = run.exercise === undefined
    ? "by itself"
    : await exerciseAndStop(run.exercise, { child, file });
  const exitCode = await ended;
  const lines = readFileSync(file, "utf8").split("\n");
  rmSync(folder, { recursive: true });
  const violations = findViolations(lines);
  return { calls: lines.length, violations, exitCode, end, errors };
}

interface TracedChild {
  readonly child: ChildProcess;
  readonly file: string;
}

/** Exercises the traced process, stops it and returns how it ended. */
async function exerciseAndStop(
  exercise: () => Promise<void>,
  { child, file }: TracedChild,
): Promise<Termination> {
  let end: Termination = "after SIGKILL";
  try {
    await exercise();
    if (child.exitCode !== null) return "by itself";
    process.kill(readTracedId(file), "SIGTERM");
    if (await hasEnded(child, SHUTDOWN_TIMEOUT_MS)) end = "after SIGTERM";
    return end;
  } finally {
    if (child.exitCode === null) process.kill(readTracedId(file), "SIGKILL");
  }
}

/**
 * Returns the id of the traced process from the first line of the trace, its
 * execve. Ending strace instead would leave that process running.
 */
function readTracedId(file: string): number {
  return Number.parseInt(readFileSync(file, "utf8"), 10);
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
    console.log("strace is not installed: system calls were not checked");
    return 0;
  }
  const control = await trace(CONTROL);
  if (control.violations.length === 0) {
    console.log(
      "the check did not detect the child process of the control program",
    );
    return 1;
  }
  console.log(`control: ${control.violations.length} forbidden calls detected`);
  const binary = buildBinary();
  const deployment = await startDeployment({
    example: EXAMPLE,
    daemons: [],
    groups: [MODEL],
    edit: shortenBalancerDelay,
  });
  let failed = false;
  try {
    for (const run of listRuns(binary, deployment)) {
      const result = await trace(run);
      failed ||= hasFailed(run, result);
      console.log(describe(run, result));
      for (const line of result.violations) console.log(`  ${line}`);
    }
  } finally {
    await deployment.stop();
    rmSync(deployment.root, { recursive: true });
  }
  return failed ? 1 : 0;
}

function hasFailed(run: Run, { violations, end, exitCode }: Trace): boolean {
  if (violations.length > 0) return true;
  return run.exercise !== undefined &&
    (end !== "after SIGTERM" || exitCode !== 0);
}

function describe(run: Run, result: Trace): string {
  const { calls, violations, exitCode, end } = result;
  const text = `${run.name}: ${violations.length} forbidden of ${calls} ` +
    `traced lines, exit code ${exitCode}, ended ${end}`;
  if (run.exercise === undefined || end === "after SIGTERM") return text;
  return `${text}: ${result.errors.trim()}`;
}

process.exitCode = await main();
