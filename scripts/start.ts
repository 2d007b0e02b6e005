/**
 * Starts all daemons of examples/koiratakki (from the binary) and the stand-ins
 * on loopback, runs a short session against them and stops them. Exits with 1
 * when an expectation is not met and with 2 when the seed is invalid.
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
import { check, type Session } from "./start/session.ts";
import { showTimeline } from "./start/timeline.ts";

const EXAMPLE = "examples/koiratakki";

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: { seed: { type: "string", default: "1" } },
  });
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed) || seed < 0) {
    console.error("--seed must be a non-negative integer");
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
        `of ${EXAMPLE} are running, seed ${seed}`,
    );
    const session = runSession({ deployment, binary, seed });
    await Promise.race([session, rejectOnSignal()]);
    await stopDeployment(deployment);
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

/** Rejects on SIGINT or SIGTERM, so that the caller stops the processes. */
function rejectOnSignal(): Promise<never> {
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

async function stopDeployment(deployment: Deployment): Promise<void> {
  const codes = await deployment.stop();
  const failed = [...codes].filter(([, code]) => code !== 0);
  check(
    failed.length === 0,
    `ended with a non-zero exit code: ${
      failed.map(([name]) => name).join(", ")
    }`,
  );
  console.log(
    `all ${codes.size} daemons shut down gracefully with exit code 0`,
  );
}

process.exitCode = await main();
