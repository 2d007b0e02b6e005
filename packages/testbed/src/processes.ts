/**
 * Child processes of a deployment. Signals go only to the process id of a
 * child, so that no foreign process is stopped.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));
const STANDINS_MAIN = join(ROOT, "packages/standins/src/main.ts");
const CLI_MAIN = join(ROOT, "packages/cli/src/main.ts");

/** Time from SIGTERM to SIGKILL if a process does not exit. */
const KILL_AFTER_MILLISECONDS = 70_000;

export interface Process {
  readonly name: string;
  readonly pid: number;
  /** Lines of standard output so far. */
  lines(): readonly string[];
  /**
   * Resolves with the first line that the check accepts, also an earlier one.
   * Rejects when the process exits before that.
   */
  waitForLine(check: (line: string) => boolean): Promise<string>;
  signal(name: NodeJS.Signals): void;
  /**
   * Sends SIGTERM, and SIGKILL if the process has not exited after 70 s.
   * Resolves with the exit code, or null when a signal ended the process.
   */
  stop(): Promise<number | null>;
  /** Sends SIGKILL and resolves when the process has exited. */
  kill(): Promise<void>;
  isRunning(): boolean;
}

export interface Command {
  readonly name: string;
  /** Program and arguments. */
  readonly commandLine: readonly string[];
  /** Path of the file to which stdout and stderr are appended. */
  readonly logFile: string;
}

/** The command line of a stand-in: program and arguments. */
export function standinCommand(args: readonly string[]): readonly string[] {
  return [process.execPath, "--import", "tsx", STANDINS_MAIN, ...args];
}

/** The command line of the product: the binary, or its sources run by tsx. */
export function productCommand(
  args: readonly string[],
  binary: string | undefined,
): readonly string[] {
  if (binary !== undefined) return [binary, ...args];
  return [process.execPath, "--import", "tsx", CLI_MAIN, ...args];
}

export function startProcess(command: Command): Process {
  const [program = "", ...args] = command.commandLine;
  const child = spawn(program, args, {
    cwd: ROOT,
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = createWriteStream(command.logFile, { flags: "a" });
  const lines: string[] = [];
  const waiting = new Set<(line: string) => void>();
  let partialLine = "";
  child.stderr.pipe(log, { end: false });
  child.stdout.on("data", (chunk: Buffer) => {
    log.write(chunk);
    const parts = (partialLine + chunk.toString("utf8")).split("\n");
    partialLine = parts.pop() ?? "";
    for (const line of parts) {
      lines.push(line);
      for (const listener of waiting) listener(line);
    }
  });
  const exited = once(child, "exit").then(() => {
    log.end();
  });

  return {
    name: command.name,
    pid: child.pid ?? 0,
    lines: () => lines,
    waitForLine: (check) => waitForLine({ child, lines, waiting }, check),
    signal: (name) => void child.kill(name),
    async stop() {
      if (!isRunning(child)) return child.exitCode;
      child.kill("SIGTERM");
      const timer = setTimeout(
        () => child.kill("SIGKILL"),
        KILL_AFTER_MILLISECONDS,
      );
      await exited;
      clearTimeout(timer);
      return child.exitCode;
    },
    async kill() {
      if (isRunning(child)) child.kill("SIGKILL");
      await exited;
    },
    isRunning: () => isRunning(child),
  };
}

function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

function waitForLine(
  process: {
    readonly child: ChildProcess;
    readonly lines: readonly string[];
    readonly waiting: Set<(line: string) => void>;
  },
  check: (line: string) => boolean,
): Promise<string> {
  const earlierLine = process.lines.find(check);
  if (earlierLine !== undefined) return Promise.resolve(earlierLine);
  return new Promise((resolve, reject) => {
    const rejectOnExit = () =>
      reject(
        new Error("the process exited before it printed the expected line"),
      );
    const listener = (line: string) => {
      if (!check(line)) return;
      process.waiting.delete(listener);
      process.child.off("exit", rejectOnExit);
      resolve(line);
    };
    process.waiting.add(listener);
    process.child.once("exit", rejectOnExit);
  });
}
