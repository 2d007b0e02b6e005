/**
 * What the steps of the session share: the deployment, the binary's commands
 * and the checks.
 */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import type { Deployment } from "@peridotvalve/testbed";
import OpenAI from "openai";

const COMMAND_TIMEOUT = 30_000;

export interface Session {
  readonly deployment: Deployment;
  readonly binary: string;
  readonly seed: number;
}

/** An expectation of the session that was not met. */
export class Unexpected extends Error {}

export function check(holds: boolean, message: string): void {
  if (!holds) throw new Unexpected(message);
}

export function operatorsOf({ deployment }: Session, daemon: string): string {
  const address = deployment.settings.get(daemon)?.listeners.operators;
  if (address === undefined) throw new Unexpected(`there is no ${daemon}`);
  return address;
}

/** Runs a command of the binary and returns its standard output. */
export async function runCommand(
  session: Session,
  words: readonly string[],
): Promise<string> {
  try {
    const run = await promisify(execFile)(session.binary, [...words], {
      timeout: COMMAND_TIMEOUT,
    });
    return run.stdout;
  } catch (error) {
    const { stdout, stderr, code } = error as {
      readonly stdout?: string;
      readonly stderr?: string;
      readonly code?: unknown;
    };
    const output = `${stdout ?? ""}${stderr ?? ""}`.trim();
    throw new Unexpected(
      `peridotvalve ${words[0]} ended with ${code}: ${output}`,
    );
  }
}

export function createClient(
  { deployment }: Session,
  { daemon, customer }: { readonly daemon: string; readonly customer: string },
): OpenAI {
  return new OpenAI({
    apiKey: deployment.keys[customer] ?? "",
    baseURL: `http://${deployment.addressOf(daemon)}/v1`,
    maxRetries: 0,
  });
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
