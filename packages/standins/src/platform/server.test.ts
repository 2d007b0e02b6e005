/**
 * Faults of the platform stand-in, each seen through the HTTP client.
 */
import { createHttpPlatform, type HttpPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import type { FaultChange } from "./faults.ts";
import { type PlatformStandin, startPlatformStandin } from "./server.ts";

// For calls that must end before their deadline, also on a busy machine.
const TIMEOUT_MILLISECONDS = 10_000;
// For calls that miss their deadline in any case.
const SHORT_TIMEOUT_MILLISECONDS = 300;
const KEY = { table: "t", key: "k" };

interface Fixture {
  readonly platform: HttpPlatform;
  readonly post: (path: string, body: unknown) => Promise<number>;
}

async function withStandin(
  body: (fixture: Fixture) => Promise<void>,
  faults: FaultChange = {},
): Promise<void> {
  const standin: PlatformStandin = await startPlatformStandin({ faults });
  const address = `http://${standin.address}`;
  const platform = createHttpPlatform({ address });
  const post = async (path: string, content: unknown) => {
    const response = await fetch(`${address}${path}`, {
      method: "POST",
      body: JSON.stringify(content),
    });
    await response.text();
    return response.status;
  };
  try {
    await body({ platform, post });
  } finally {
    await platform.close();
    await standin.close();
  }
}

function write(
  platform: HttpPlatform,
  value: number,
  timeout = TIMEOUT_MILLISECONDS,
) {
  const writes = [{ ...KEY, value }];
  return platform.transact({ id: "1", checks: [], writes }, timeout);
}

test("after a freeze one command misses, the next ones work", async () => {
  await withStandin(async ({ platform, post }) => {
    // Opens several connections, all of which freeze.
    await Promise.all([1, 2, 3].map((value) => write(platform, value)));
    await post("/control/faults", { freezeConnections: true });
    expect((await write(platform, 4, SHORT_TIMEOUT_MILLISECONDS)).kind).toEqual(
      "unknown",
    );
    for (const value of [5, 6, 7]) {
      expect((await write(platform, value)).kind).toEqual("done");
    }
  });
});

test("a fault that is not named in a change stays", async () => {
  await withStandin(async ({ platform, post }) => {
    await post("/control/faults", { outage: true });
    await post("/control/faults", { delay: 1 });
    expect((await write(platform, 1)).kind).toEqual("not done");
    expect(await post("/control/faults", { outtage: false })).toEqual(400);
  });
});

test("calls over the rate limits are refused", async () => {
  await withStandin(async ({ platform }) => {
    const writes = Array.from({ length: 6 }, (_, each) => each);
    const kinds = await Promise.all(
      writes.map(async (each) => (await write(platform, each)).kind),
    );
    expect(kinds.filter((kind) => kind === "done").length < 6).toEqual(true);
    expect(kinds.includes("unknown")).toEqual(false);
  }, { writesPerSecond: 1 });
});

test("the list of VMs lags behind", async () => {
  await withStandin(async ({ platform, post }) => {
    const vm = { name: "e", address: "a", zone: "z", incarnation: "i" };
    const vms = [{ ...vm, state: "live" as const }];
    expect(await post("/control/vms", vms)).toEqual(200);
    expect((await platform.readVms(TIMEOUT_MILLISECONDS)).unwrap().vms).toEqual(
      vms,
    );
    await post("/control/faults", { vmListLag: 60_000 });
    expect((await platform.readVms(TIMEOUT_MILLISECONDS)).unwrap().vms).toEqual(
      [],
    );
  });
});

test("answers are lost at the given rate and after the effect", async () => {
  await withStandin(async ({ platform }) => {
    expect((await write(platform, 9)).kind).toEqual("unknown");
    const row = await platform.readRow(KEY, TIMEOUT_MILLISECONDS);
    expect(row.unwrap()?.value).toEqual(9);
  }, { loseAnswerRate: 1 });
});

test("as a process it prints where it listens", async () => {
  const main = new URL("../main.ts", import.meta.url).pathname;
  const args = ["--import", "tsx", main, "platform", "--port", "0"];
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "inherit"],
  });
  try {
    const lines = createInterface({ input: child.stdout });
    const [line] = await once(lines, "line") as [string];
    const { listening } = JSON.parse(line) as { listening: string };
    const response = await fetch(`http://${listening}/vms`);
    expect(response.status).toEqual(200);
  } finally {
    child.kill();
  }
});
