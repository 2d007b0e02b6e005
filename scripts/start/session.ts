/**
 * The session that the steps share, with helpers that run commands of the
 * binary and check expectations.
 */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import type { Deployment } from "@peridotvalve/testbed";
import OpenAI from "openai";

const COMMAND_TIMEOUT_MS = 30_000;

export interface Session {
  readonly deployment: Deployment;
  readonly binary: string;
  readonly seed: number;
}

/** Reports an expectation of the session that was not met. */
export class ExpectationError extends Error {}

export function check(holds: boolean, message: string): void {
  if (!holds) throw new ExpectationError(message);
}

export function operatorAddressOf(
  { deployment }: Session,
  daemon: string,
): string {
  const address = deployment.settings.get(daemon)?.listeners.operators;
  if (address === undefined) throw new ExpectationError(`no daemon ${daemon}`);
  return address;
}

/**
 * Runs a command of the binary and returns its standard output. Throws when the
 * exit code is not 0 or the command exceeds its timeout of 30 s.
 */
export async function runCommand(
  session: Session,
  args: readonly string[],
): Promise<string> {
  try {
    const run = await promisify(execFile)(session.binary, [...args], {
      timeout: COMMAND_TIMEOUT_MS,
    });
    return run.stdout;
  } catch (error) {
    const { stdout, stderr, code } = error as {
      readonly stdout?: string;
      readonly stderr?: string;
      readonly code?: unknown;
    };
    const output = `${stdout ?? ""}${stderr ?? ""}`.trim();
    throw new ExpectationError(
      `peridotvalve ${args[0]} failed with code ${code}: ${output}`,
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
