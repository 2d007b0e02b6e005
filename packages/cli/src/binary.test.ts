import { readProcessSettings } from "@peridotvalve/settings";
import { startPlatformStandin } from "@peridotvalve/standins";
import {
  copyExample,
  findBinary,
  shortenBalancerDelay,
} from "@peridotvalve/testbed";
import { expect } from "earl";
import { execFile, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { promisify } from "node:util";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));
const binary = findBinary();
const NO_BINARY = "dist/peridotvalve is missing or older than its sources";
const NO_STRACE = "strace is missing: the system calls were not checked";

// Guards against a library that requires a module missing from the binary.
// Node.js then prints a warning to standard error.
test(
  "serve prints no warning and exits on SIGTERM",
  { skip: binary === undefined && NO_BINARY },
  async () => {
    const folder = mkdtempSync(join(tmpdir(), "peridotvalve-binary-"));
    await copyExample(
      join(ROOT, "examples/koiratakki"),
      folder,
      shortenBalancerDelay,
    );
    const settings = join(folder, "settings/espoo-1.yaml");
    const { platform } = (await readProcessSettings(settings)).unwrap();
    // Without a platform and peers, a daemon never becomes ready.
    const standin = await startPlatformStandin({
      port: Number(platform.split(":")[1]),
    });
    const daemon = spawn(binary ?? "", ["serve", "--settings", settings]);
    const ended = once(daemon, "close");
    let output = "";
    let errors = "";
    daemon.stderr.on("data", (chunk) => errors += chunk);
    for await (const chunk of daemon.stdout) {
      output += chunk;
      if (output.includes("process_ready")) daemon.kill("SIGTERM");
    }
    const [code] = await ended;
    await standin.close();
    rmSync(folder, { recursive: true });
    expect(errors).toEqual("");
    expect(code).toEqual(0);
  },
);

test(
  "the binary starts no processes and uses neither io_uring nor shared memory",
  {
    skip: spawnSync("strace", ["-V"]).error !== undefined
      ? NO_STRACE
      : binary === undefined && NO_BINARY,
  },
  async () => {
    const words = ["--import", "tsx", "scripts/tests/check_syscalls.test.ts"];
    const run = promisify(execFile)(process.execPath, words, { cwd: ROOT });
    const { stdout } = await run;
    expect(stdout).toMatchRegex(/serve: 0 forbidden of .* after SIGTERM/);
  },
);
