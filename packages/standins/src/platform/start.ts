/**
 * Starts the platform stand-in from command-line options.
 */
import { parseArgs } from "node:util";
import { FAULT_CHANGE } from "./faults.ts";
import { startPlatformStandin } from "./server.ts";

/**
 * Starts the stand-in with `--port`, `--seed` and `--faults` (JSON as for
 * `POST /control/faults`) and resolves with its host:port. Rejects when an
 * option is unknown or invalid.
 */
export async function startPlatformFromArguments(
  args: readonly string[],
): Promise<string> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      port: { type: "string", default: "0" },
      seed: { type: "string", default: "1" },
      faults: { type: "string", default: "{}" },
    },
  });
  const standin = await startPlatformStandin({
    port: Number(values.port),
    seed: Number(values.seed),
    faults: FAULT_CHANGE.parse(JSON.parse(values.faults)),
  });
  return standin.address;
}
