/**
 * Runs the measuring scripts one after another, stores their output in
 * docs/capacity_slopes.json and derives docs/CAPACITY.md from it.
 *
 * Run: `npm run capacity`. With `-- NAME...`, only the named slopes are
 * measured. With `-- --page`, nothing is measured and only the page is written.
 */
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createPage } from "./page.ts";
import type { Slope, Slopes } from "./slopes.ts";

const SLOPES_FILE = "docs/capacity_slopes.json";
const PAGE_FILE = "docs/CAPACITY.md";
const FOLDER = "packages/replay/src/capacity";
const SCRIPT_TIMEOUT_MILLISECONDS = 200_000;

/** A measuring script; `sizes` and `seed` are shown on the page. */
interface Script {
  readonly path: string;
  readonly sizes: string;
  readonly seed: number | null;
}

const SCRIPTS: Readonly<Record<string, Script>> = {
  heartbeats: {
    path: "packages/membership/src/measure_heartbeats.ts",
    sizes: "10, 20, 45 daemons in an availability zone",
    seed: 1,
  },
  routing: {
    path: "packages/routing/src/measure_slopes.ts",
    sizes: "9, 91, 730 candidates; 10,000, 50,000, 250,000 prompts",
    seed: 0,
  },
  admission: {
    path: "packages/admission/src/measure_slopes.ts",
    sizes: "10, 100, 300 customers",
    seed: null,
  },
  configuration: {
    path: `${FOLDER}/measure_configuration.ts`,
    sizes: "91, 365, 730 replicas; 1, 4, 16 readers; 137, 545, 1,090 VMs",
    seed: 1,
  },
  load: {
    path: `${FOLDER}/measure_load.ts`,
    sizes: "91, 365, 730 replicas; 10, 50, 200 polls/s",
    seed: 1,
  },
  coordination: {
    path: `${FOLDER}/measure_coordination.ts`,
    sizes: "50 to 300 orders/s; 1,000 to 20,000 rows; 1, 4, 16 leases",
    seed: 1,
  },
  logging: {
    path: `${FOLDER}/measure_logging.ts`,
    sizes: "1,000, 10,000, 50,000 events; 4, 16, 64 series",
    seed: null,
  },
  fleet: {
    path: "packages/daemon/src/fleet/measure_fleet.ts",
    sizes: "23, 91, 365, 730 replicas",
    seed: null,
  },
  relay: {
    path: `${FOLDER}/measure_relay.ts`,
    sizes: "1, 20, 100, 400 tokens; 100, 300, 1,000 streams; 1, 8, 32 callers",
    seed: 1,
  },
};

function runScript({ path, sizes, seed }: Script, commit: string): Slope {
  const args = ["--import", "tsx", path];
  const output = execFileSync(process.execPath, args, {
    encoding: "utf8",
    timeout: SCRIPT_TIMEOUT_MILLISECONDS,
    stdio: ["ignore", "pipe", "inherit"],
  });
  return {
    command: `node ${args.join(" ")}`,
    ...{ sizes, seed, commit, node: process.version },
    figures: JSON.parse(output) as Slope["figures"],
  };
}

/** Measures the named slopes and keeps the others; without names, all. */
function measureSlopes(names: readonly string[]): Slopes {
  const git = (...args: string[]) =>
    execFileSync("git", args, { encoding: "utf8" }).trim();
  const isChanged = git("status", "--porcelain", "packages") !== "";
  const commit = git("rev-parse", "--short", "HEAD") +
    (isChanged ? " with changes" : "");
  const kept = names.length === 0 ? {} : readSlopes();
  const chosen = Object.entries(SCRIPTS)
    .filter(([name]) => names.length === 0 || names.includes(name));
  const slopes = chosen.map(([name, script]) => {
    console.error(`measuring ${name}`);
    return [name, runScript(script, commit)];
  });
  return { ...kept, ...Object.fromEntries(slopes) as Slopes };
}

function readSlopes(): Slopes {
  return JSON.parse(readFileSync(SLOPES_FILE, "utf8")) as Slopes;
}

const args = process.argv.slice(2);
if (!args.includes("--page")) {
  writeFileSync(
    SLOPES_FILE,
    `${JSON.stringify(measureSlopes(args), null, 2)}\n`,
  );
}
writeFileSync(PAGE_FILE, createPage(readSlopes()));
execFileSync("npx", ["deno", "fmt", SLOPES_FILE, PAGE_FILE]);
