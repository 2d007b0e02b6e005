/**
 * Measures the placement policies on both example deployments: for each seed
 * every policy, and for each policy every scenario. Writes
 * docs/measurements.json and the section of docs/measurements.md.
 *
 * Run: `npm run measure`. With `-- --page`, only the section is written, from
 * the stored results.
 */
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { computeMeasures } from "../run/measures.ts";
import { countOrders, replayTrace } from "../run/replay.ts";
import type { Measurements, Run } from "./measurements.ts";
import { createSection, replaceSection } from "./page.ts";
import { countLinkBytes, recordLogPositions } from "./link_bytes.ts";
import {
  createTrace,
  editSettings,
  ENGINE_ARGUMENTS,
  POLICIES,
  type Policy,
  SCENARIOS,
  SEEDS,
  type Setup,
  SETUPS,
  workloadOf,
} from "./scenarios.ts";
import { switchPolicy } from "./switch_policy.ts";

const DATA_FILE = "docs/measurements.json";
const PAGE_FILE = "docs/measurements.md";

async function measurePolicy(
  deployment: Deployment,
  setup: Setup,
  variant: { readonly policy: Policy; readonly seed: number },
): Promise<readonly Run[]> {
  const { daemons, slowedReplica } = setup;
  const { policy, seed } = variant;
  await switchPolicy(deployment, { daemons, policy, id: `${policy}-${seed}` });
  const runs: Run[] = [];
  for (const scenario of SCENARIOS) {
    const { slowFactor } = scenario;
    await deployment.setFaults(slowedReplica, { slowFactor });
    const logPositions = recordLogPositions(deployment, daemons);
    const sent = await replayTrace(
      createTrace(setup, { scenario, seed, policy }),
      { daemons: daemons.map(deployment.addressOf), keys: deployment.keys },
    );
    const measures = computeMeasures(
      sent,
      countLinkBytes(deployment, sent, logPositions),
    );
    const keys = new Set(
      sent.map(({ request }) => request.kind === "order" ? request.key : ""),
    );
    const orders = await countOrders(orderAddressesOf(deployment, setup));
    const repeatedOrders = [...orders].filter(([key, count]) =>
      keys.has(key) && count > 1
    ).length;
    runs.push({
      ...{ deployment: setup.name, scenario: scenario.name, policy, seed },
      ...{ measures, repeatedOrders },
    });
  }
  await deployment.setFaults(slowedReplica, { slowFactor: 1 });
  return runs;
}

function orderAddressesOf(
  deployment: Deployment,
  setup: Setup,
): readonly string[] {
  const { service } = workloadOf(setup).orders;
  return deployment.configuration.services[service]?.addresses ?? [];
}

async function measureDeployment(setup: Setup): Promise<readonly Run[]> {
  const deployment = await startDeployment({
    example: `examples/${setup.name}`,
    daemons: setup.daemons,
    groups: [workloadOf(setup).model],
    edit: editSettings(setup),
    engineArguments: ENGINE_ARGUMENTS,
  });
  const runs: Run[] = [];
  try {
    // Warms up the processes, whose first runs are slow; results are discarded.
    await measurePolicy(deployment, setup, { policy: "random", seed: 0 });
    for (const [seedIndex, seed] of SEEDS.entries()) {
      // Rotates the policies for each seed, so that drift affects all equally.
      const order = POLICIES.map((_, index) =>
        POLICIES[(index + 2 * seedIndex) % POLICIES.length]!
      );
      for (const policy of order) {
        runs.push(
          ...await measurePolicy(deployment, setup, { policy, seed }),
        );
      }
    }
  } finally {
    await deployment.stop();
  }
  return runs;
}

async function measureAll(): Promise<Measurements> {
  const git = (...args: string[]) =>
    execFileSync("git", args, { encoding: "utf8" }).trim();
  const isChanged = git("status", "--porcelain", "packages") !== "";
  const commit = git("rev-parse", "--short", "HEAD") +
    (isChanged ? " with changes" : "");
  const runs: Run[] = [];
  for (const setup of SETUPS) {
    console.error(`measuring ${setup.name}`);
    runs.push(...await measureDeployment(setup));
  }
  return {
    command: "npm run measure",
    commit,
    node: process.version,
    seeds: SEEDS,
    runs,
  };
}

if (!process.argv.includes("--page")) {
  writeFileSync(DATA_FILE, `${JSON.stringify(await measureAll())}\n`);
}
const measurements = JSON.parse(
  readFileSync(DATA_FILE, "utf8"),
) as Measurements;
const page = existsSync(PAGE_FILE) ? readFileSync(PAGE_FILE, "utf8") : "";
writeFileSync(PAGE_FILE, replaceSection(page, createSection(measurements)));
execFileSync("npx", ["deno", "fmt", DATA_FILE, PAGE_FILE]);
