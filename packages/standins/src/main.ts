/**
 * Command-line entry point that starts one stand-in; see the README for its
 * arguments. Prints one line of JSON with the address once the stand-in accepts
 * connections:
 *
 *     main.ts NAME --port P --seed S ...
 */
import { parseArguments } from "./arguments.ts";
import { startEngineStandin } from "./engine/mod.ts";
import { startLegacyStandin } from "./legacy/mod.ts";
import { startPlatformFromArguments } from "./platform/start.ts";
import { startServiceStandin } from "./service/mod.ts";
import { startStoreVmStandin } from "./store_vm/mod.ts";
import { startWeightStoreStandin } from "./weight_store/mod.ts";

/** Starts a stand-in from its command line and resolves with its host:port. */
type Starter = (args: readonly string[]) => Promise<string>;

const STANDINS: Readonly<Record<string, Starter>> = {
  "engine": async (args) =>
    (await startEngineStandin(parseArguments(args))).address,
  "legacy": async (args) =>
    (await startLegacyStandin(parseArguments(args))).address,
  "platform": startPlatformFromArguments,
  "service": async (args) =>
    (await startServiceStandin(parseArguments(args))).address,
  "store-vm": async (args) =>
    (await startStoreVmStandin(parseArguments(args))).address,
  "weight-store": async (args) =>
    (await startWeightStoreStandin(parseArguments(args))).address,
};

const [name = "", ...args] = process.argv.slice(2);
const startStandin = STANDINS[name];
if (startStandin === undefined) {
  const known = Object.keys(STANDINS).join(", ");
  console.error(
    `unknown stand-in ${JSON.stringify(name)}; expected one of: ${known}`,
  );
  process.exit(2);
}
console.log(JSON.stringify({ listening: await startStandin(args) }));
