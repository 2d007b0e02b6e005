/**
 * Starts one stand-in as a process: `main.ts NAME --port P --seed S ...`.
 */
import { parseArguments } from "./arguments.ts";
import { startEngineStandin } from "./engine/mod.ts";
import { startLegacyStandin } from "./legacy/mod.ts";
import type { Standin } from "./server.ts";
import { startServiceStandin } from "./service/mod.ts";
import { startStoreVmStandin } from "./store_vm/mod.ts";
import { startWeightStoreStandin } from "./weight_store/mod.ts";

type Options = Readonly<Record<string, string>>;

const STANDINS: Readonly<Record<string, (o: Options) => Promise<Standin>>> = {
  "engine": startEngineStandin,
  "legacy": startLegacyStandin,
  "service": startServiceStandin,
  "store-vm": startStoreVmStandin,
  "weight-store": startWeightStoreStandin,
};

const [name = "", ...words] = process.argv.slice(2);
const start = STANDINS[name];
if (start === undefined) {
  console.error(`unknown stand-in: ${name}`);
  process.exit(2);
}
const { address } = await start(parseArguments(words));
console.log(JSON.stringify({ listening: address }));
