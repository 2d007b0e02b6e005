/**
 * Starts stand-ins as separate processes, so that their CPU time is not counted
 * in the measured process.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { standinCommand, startProcess } from "@peridotvalve/testbed";

export interface StandinProcesses {
  /** Addresses as `host:port`, in the order of the commands. */
  readonly addresses: readonly string[];
  /** Kills the processes and deletes their logs. */
  stop(): Promise<void>;
}

/** Starts engine stand-ins with the same command-line arguments. */
export function startEngines(
  count: number,
  args: readonly string[],
): Promise<StandinProcesses> {
  return startStandins(
    Array.from({ length: count }, () => ["engine", ...args]),
  );
}

/** Starts one stand-in for each command and waits until all are listening. */
export async function startStandins(
  commands: readonly (readonly string[])[],
): Promise<StandinProcesses> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-measure-"));
  const processes = commands.map((args, index) =>
    startProcess({
      name: `standin-${index}`,
      commandLine: standinCommand(args),
      logFile: join(folder, `${index}.log`),
    })
  );
  const addresses = await Promise.all(processes.map(async (one) => {
    const line = await one.waitForLine((text) => text.includes("listening"));
    const { listening } = JSON.parse(line) as { readonly listening: string };
    return listening.replace("http://", "");
  }));
  return {
    addresses,
    async stop() {
      await Promise.all(processes.map((one) => one.kill()));
      rmSync(folder, { recursive: true });
    },
  };
}
