/**
 * Stand-ins as processes of their own, so that their processor time does not
 * count towards the measured process.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { standinCommand, startProcess } from "@peridotvalve/testbed";

export interface StandinProcesses {
  readonly addresses: readonly string[];
  stop(): Promise<void>;
}

export function startEngines(
  count: number,
  args: readonly string[],
): Promise<StandinProcesses> {
  return startStandins(
    Array.from({ length: count }, () => ["engine", ...args]),
  );
}

export async function startStandins(
  commands: readonly (readonly string[])[],
): Promise<StandinProcesses> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-measure-"));
  const processes = commands.map((args, index) =>
    startProcess({
      name: `standin-${index}`,
      words: standinCommand(args),
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
