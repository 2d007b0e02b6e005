/**
 * Measures the placement policies on both deployments: for each seed all
 * policies in turn, and for each policy all scenarios. Writes
 * docs/measurements.json and its part of docs/measurements.md.
 *
 * Run: `npm run measure`, or with `--page` to write the page only.
 */
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { measure } from "../run/measures.ts";
import { countOrders, replayTrace } from "../run/replay.ts";
import type { Measurements, Run } from "./measurements.ts";
import { createSection, replaceSection } from "./page.ts";
import { countLinkBytes, markLogs } from "./link_bytes.ts";
import {
  editSettings,
  ENGINE_WORDS,
  POLICIES,
  type Policy,
  SCENARIOS,
  SEEDS,
  type Setting,
  SETTINGS,
  shapeOf,
  traceOf,
} from "./scenarios.ts";
import { switchPolicy } from "./switch_policy.ts";

const FILE = "docs/measurements.json";
const PAGE = "docs/measurements.md";

async function measurePolicy(
  deployment: Deployment,
  setting: Setting,
  variant: { readonly policy: Policy; readonly seed: number },
): Promise<readonly Run[]> {
  const { daemons, slowed } = setting;
  const { policy, seed } = variant;
  await switchPolicy(deployment, { daemons, policy, id: `${policy}-${seed}` });
  const runs: Run[] = [];
  for (const scenario of SCENARIOS) {
    const { slowFactor } = scenario;
    await deployment.setFaults(slowed, { slowFactor });
    const marks = markLogs(deployment, daemons);
    const sent = await replayTrace(
      traceOf(setting, { scenario, seed, policy }),
      { daemons: daemons.map(deployment.addressOf), keys: deployment.keys },
    );
    const measures = measure(sent, countLinkBytes(deployment, sent, marks));
    const keys = new Set(
      sent.map(({ request }) => request.kind === "order" ? request.key : ""),
    );
    const orders = await countOrders(orderAddresses(deployment, setting));
    const repeatedOrders = [...orders].filter(([key, count]) =>
      keys.has(key) && count > 1
    ).length;
    runs.push({
      ...{ deployment: setting.name, scenario: scenario.name, policy, seed },
      ...{ measures, repeatedOrders },
    });
  }
  await deployment.setFaults(slowed, { slowFactor: 1 });
  return runs;
}

function orderAddresses(
  deployment: Deployment,
  setting: Setting,
): readonly string[] {
  const { service } = shapeOf(setting).orders;
  return deployment.configuration.services[service]?.addresses ?? [];
}

async function measureSetting(setting: Setting): Promise<readonly Run[]> {
  const deployment = await startDeployment({
    example: `examples/${setting.name}`,
    daemons: setting.daemons,
    groups: [shapeOf(setting).model],
    edit: editSettings(setting),
    engineWords: ENGINE_WORDS,
  });
  const runs: Run[] = [];
  try {
    // The first runs of a process are slow; their figures are not kept.
    await measurePolicy(deployment, setting, { policy: "random", seed: 0 });
    for (const [turn, seed] of SEEDS.entries()) {
      // Another order for each seed, so that drift meets all policies alike.
      const order = POLICIES.map((_, index) =>
        POLICIES[(index + 2 * turn) % POLICIES.length]!
      );
      for (const policy of order) {
        runs.push(
          ...await measurePolicy(deployment, setting, { policy, seed }),
        );
      }
    }
  } finally {
    await deployment.stop();
  }
  return runs;
}

async function measureAll(): Promise<Measurements> {
  const git = (...words: string[]) =>
    execFileSync("git", words, { encoding: "utf8" }).trim();
  const isChanged = git("status", "--porcelain", "packages") !== "";
  const commit = git("rev-parse", "--short", "HEAD") +
    (isChanged ? " with changes" : "");
  const runs: Run[] = [];
  for (const setting of SETTINGS) {
    console.error(`measuring ${setting.name}`);
    runs.push(...await measureSetting(setting));
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
  writeFileSync(FILE, `${JSON.stringify(await measureAll())}\n`);
}
const all = JSON.parse(readFileSync(FILE, "utf8")) as Measurements;
const page = existsSync(PAGE) ? readFileSync(PAGE, "utf8") : "";
writeFileSync(PAGE, replaceSection(page, createSection(all)));
execFileSync("npx", ["deno", "fmt", FILE, PAGE]);
