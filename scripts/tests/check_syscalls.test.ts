/**
 * Checks with strace that the started binary starts no process and uses
 * neither io_uring nor shared memory, and that a daemon that has handled
 * requests ends after SIGTERM with exit code 0. A process that does start
 * another one is traced first, to show that the check would see it.
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
const FOLDER = "examples/koiratakki/operators";
const DAEMON = "espoo-1";
const CUSTOMER = "pet-shops-uusimaa";
const MODEL = "shop-app";
const TOKEN = "examples/koiratakki/operator-token";
// The platform's port of the example; no daemon answers there.
const NO_DAEMON = "127.0.0.1:21001";

const LONGEST_RUN = 90_000;
// A traced daemon takes some seconds to start.
const LONGEST_START = 30_000;
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
  /** Uses the process, which is then ended by SIGTERM. */
  readonly use?: () => Promise<void>;
}

function listRuns(binary: string, deployment: Deployment): readonly Run[] {
  const settings = join(deployment.folder, "settings", `${DAEMON}.yaml`);
  return [
    { name: "--help", command: [binary, "--help"] },
    { name: "config check", command: [binary, "config", "check", FOLDER] },
    {
      name: "status without a daemon",
      command: [
        binary,
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
      command: [binary, "serve", "--settings", settings],
      use: () => sendRequests(deployment),
    },
  ];
}

/** A streamed completion, an order and a look-up; throws if one fails. */
async function sendRequests(deployment: Deployment): Promise<void> {
  const origin = `http://${deployment.addressOf(DAEMON)}`;
  const operators = deployment.settings.get(DAEMON)?.listeners.operators;
  const end = Date.now() + LONGEST_START;
  while (!await isReady(`http://${operators}/readyz`)) {
    if (Date.now() > end) throw new Error("the daemon did not get ready");
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
    const answer = await fetch(`${origin}${path}`, { ...options, headers });
    const text = await answer.text();
    if (!answer.ok) throw new Error(`${path}: ${answer.status} ${text}`);
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
  const end = run.use === undefined
    ? "by itself"
    : await useAndStop(run.use, { child, file });
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
async function useAndStop(
  use: () => Promise<void>,
  { child, file }: Stop,
): Promise<End> {
  let end: End = "after SIGKILL";
  try {
    await use();
    if (child.exitCode !== null) return "by itself";
    process.kill(readTracedId(file), "SIGTERM");
    if (await hasEnded(child, LONGEST_SHUTDOWN)) end = "after SIGTERM";
    return end;
  } finally {
    if (child.exitCode === null) process.kill(readTracedId(file), "SIGKILL");
  }
}

/**
 * The first line of the trace is the execve of the traced process. Ending
 * strace instead would leave that process running.
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
    console.log("strace is missing: the system calls were not checked");
    return 0;
  }
  const control = await trace(CONTROL);
  if (control.violations.length === 0) {
    console.log("the check does not see a child process of the control run");
    return 1;
  }
  console.log(`control: ${control.violations.length} forbidden calls seen`);
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
  return run.use !== undefined && (end !== "after SIGTERM" || exitCode !== 0);
}

function describe(run: Run, result: Trace): string {
  const { calls, violations, exitCode, end } = result;
  const text = `${run.name}: ${violations.length} forbidden of ${calls} ` +
    `traced lines, exit code ${exitCode}, ended ${end}`;
  if (run.use === undefined || end === "after SIGTERM") return text;
  return `${text}: ${result.errors.trim()}`;
}

process.exitCode = await main();
