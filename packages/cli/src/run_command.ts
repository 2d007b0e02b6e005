/**
 * Test helper: runs the command line in the test process.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { runCommandLine } from "./application.ts";
import type { Environment } from "./environment.ts";
import {
  createFakeListener,
  FAKE_TOKEN,
  type FakeCall,
  type ResponseScript,
} from "./fake_operators_listener.ts";

export interface CommandResult {
  readonly code: number;
  readonly output: readonly string[];
  readonly errors: readonly string[];
  /** Calls received by the fake listener. */
  readonly calls: readonly FakeCall[];
}

export const EXAMPLE = fileURLToPath(
  new URL("../../../examples/koiratakki/", import.meta.url),
);

/** Runs a command without a listener. */
export async function runCommand(
  args: readonly string[],
  overrides: Partial<Environment> = {},
): Promise<CommandResult> {
  const output: string[] = [];
  const errors: string[] = [];
  const code = await runCommandLine(args, {
    print: (line) => output.push(line),
    warn: (line) => errors.push(line),
    loadDaemon: () => Promise.resolve(undefined),
    loadEvents: () => Promise.resolve(undefined),
    ...overrides,
  });
  return { code, output, errors, calls: [] };
}

export interface FakeRunOptions extends Partial<Environment> {
  readonly script: ResponseScript;
  /** Command line option for the listener's address. */
  readonly option?: string;
}

/** Runs a command against a fake listener. */
export async function runAgainst(
  args: readonly string[],
  { script, option = "--operators", ...overrides }: FakeRunOptions,
): Promise<CommandResult> {
  const listener = await createFakeListener(script);
  const folder = await mkdtemp(join(tmpdir(), "peridotvalve-cli-"));
  const token = join(folder, "token");
  await writeFile(token, `${FAKE_TOKEN}\n`);
  const target = [option, listener.address, "--token-file", token];
  const result = await runCommand([...args, ...target], overrides);
  await listener.close();
  await rm(folder, { recursive: true });
  return { ...result, calls: listener.calls };
}
