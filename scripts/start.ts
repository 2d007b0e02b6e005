/**
 * Brings up all daemons of examples/koiratakki (the binary) and the stand-ins
 * on loopback, runs a short session against them and stops them. Exits with 1
 * when an expectation is not met.
 */
import { rmSync } from "node:fs";
import { parseArgs } from "node:util";
import {
  buildBinary,
  type Deployment,
  shortenBalancerDelay,
  startDeployment,
} from "@peridotvalve/testbed";
import { changeConfiguration } from "./start/configuration.ts";
import { runConversations } from "./start/conversations.ts";
import { runOrder } from "./start/order.ts";
import { check, type Session } from "./start/parts.ts";
import { showTimeline } from "./start/timeline.ts";

const EXAMPLE = "examples/koiratakki";

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: { seed: { type: "string", default: "1" } },
  });
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed) || seed < 0) {
    console.error("--seed must be a whole number from 0");
    return 2;
  }
  let deployment: Deployment | undefined;
  try {
    const binary = buildBinary();
    deployment = await startDeployment({
      example: EXAMPLE,
      binary,
      seed,
      edit: shortenBalancerDelay,
    });
    console.log(
      `${deployment.settings.size} daemons and ` +
        `${deployment.processes.size - deployment.settings.size} stand-ins ` +
        `of ${EXAMPLE} run, seed ${seed}`,
    );
    const session = runSession({ deployment, binary, seed });
    await Promise.race([session, interrupted()]);
    await stop(deployment);
    rmSync(deployment.root, { recursive: true });
    return 0;
  } catch (error) {
    console.error(`failed: ${(error as Error).message}`);
    await deployment?.stop();
    if (deployment !== undefined) {
      console.error(`logs are in ${deployment.root}/logs`);
    }
    return 1;
  }
}

/** Rejects on the first signal, so that the processes are stopped. */
function interrupted(): Promise<never> {
  return new Promise((_, reject) => {
    for (const name of ["SIGINT", "SIGTERM"] as const) {
      process.once(name, () => reject(new Error(`stopped by ${name}`)));
    }
  });
}

async function runSession(session: Session): Promise<void> {
  const returning = await runConversations(session);
  await runOrder(session);
  await changeConfiguration(session);
  await showTimeline(session, returning);
}

async function stop(deployment: Deployment): Promise<void> {
  const codes = await deployment.stop();
  const failed = [...codes].filter(([, code]) => code !== 0);
  check(
    failed.length === 0,
    `ended with an error: ${failed.map(([name]) => name).join(", ")}`,
  );
  console.log(`all ${codes.size} daemons ended gracefully with exit code 0`);
}

process.exitCode = await main();
