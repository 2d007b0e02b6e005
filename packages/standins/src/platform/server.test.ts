/**
 * Faults of the platform stand-in as the HTTP client of the platform sees them.
 */
import { createHttpPlatform, type HttpPlatform } from "@peridotvalve/tables";
import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { test } from "node:test";
import type { FaultChange } from "./faults.ts";
import { type PlatformStandin, startPlatformStandin } from "./server.ts";

// For calls that must succeed; leaves time for a busy machine.
const TIMEOUT_MILLISECONDS = 10_000;
// For calls that get no response; bounds the duration of the test.
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

test("after connections freeze, one command times out and later ones work", async () => {
  await withStandin(async ({ platform, post }) => {
    // Parallel commands open several connections, all of which freeze.
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

test("a change of faults keeps the faults that it does not name", async () => {
  await withStandin(async ({ platform, post }) => {
    await post("/control/faults", { outage: true });
    await post("/control/faults", { delay: 1 });
    expect((await write(platform, 1)).kind).toEqual("not done");
    expect(await post("/control/faults", { outtage: false })).toEqual(400);
  });
});

test("calls above the rate limits are refused", async () => {
  await withStandin(async ({ platform }) => {
    const writes = Array.from({ length: 6 }, (_, each) => each);
    const kinds = await Promise.all(
      writes.map(async (each) => (await write(platform, each)).kind),
    );
    expect(kinds.filter((kind) => kind === "done").length < 6).toEqual(true);
    expect(kinds.includes("unknown")).toEqual(false);
  }, { writesPerSecond: 1 });
});

test("the list of VMs is out of date by vmListLag", async () => {
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

test("a write whose response is lost has taken effect", async () => {
  await withStandin(async ({ platform }) => {
    expect((await write(platform, 9)).kind).toEqual("unknown");
    const row = await platform.readRow(KEY, TIMEOUT_MILLISECONDS);
    expect(row.unwrap()?.value).toEqual(9);
  }, { loseAnswerRate: 1 });
});

test("started as a process, it prints its address", async () => {
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
