/**
 * Starts one stand-in as a process: `main.ts NAME --port P --seed S ...`.
 * Prints one JSON line with the address as soon as the stand-in listens.
 */
import { parseArguments } from "./arguments.ts";
import { startEngineStandin } from "./engine/mod.ts";
import { startLegacyStandin } from "./legacy/mod.ts";
import { startPlatform } from "./platform/start.ts";
import { startServiceStandin } from "./service/mod.ts";
import { startStoreVmStandin } from "./store_vm/mod.ts";
import { startWeightStoreStandin } from "./weight_store/mod.ts";

/** Starts a stand-in from its command line and returns where it listens. */
type Start = (words: readonly string[]) => Promise<string>;

const STANDINS: Readonly<Record<string, Start>> = {
  "engine": async (words) =>
    (await startEngineStandin(parseArguments(words))).address,
  "legacy": async (words) =>
    (await startLegacyStandin(parseArguments(words))).address,
  "platform": startPlatform,
  "service": async (words) =>
    (await startServiceStandin(parseArguments(words))).address,
  "store-vm": async (words) =>
    (await startStoreVmStandin(parseArguments(words))).address,
  "weight-store": async (words) =>
    (await startWeightStoreStandin(parseArguments(words))).address,
};

const [name = "", ...words] = process.argv.slice(2);
const start = STANDINS[name];
if (start === undefined) {
  const known = Object.keys(STANDINS).join(", ");
  console.error(`no stand-in ${JSON.stringify(name)}; there are: ${known}`);
  process.exit(2);
}
console.log(JSON.stringify({ listening: await start(words) }));
