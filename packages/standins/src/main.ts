/**
 * Starts one stand-in as a process: `main.ts NAME [options]`. Prints one JSON
 * line with the address as soon as the stand-in listens.
 */
import { startPlatform } from "./platform/start.ts";

/** Starts a stand-in from its options and returns where it listens. */
type Start = (args: readonly string[]) => Promise<string>;

const STANDINS: Readonly<Record<string, Start>> = {
  platform: startPlatform,
};

const [name = "", ...args] = process.argv.slice(2);
const start = STANDINS[name];
if (start === undefined) {
  const known = Object.keys(STANDINS).join(", ");
  console.error(`no stand-in ${JSON.stringify(name)}; there are: ${known}`);
  process.exit(2);
}
console.log(JSON.stringify({ listening: await start(args) }));
