import { expect } from "earl";
import { createHash } from "node:crypto";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import type { Configuration } from "@peridotvalve/types";
import { readFolder } from "./folder.ts";
import { formatProblem } from "./problem.ts";
import {
  type ProcessSettings,
  readProcessSettings,
} from "./process_settings.ts";

const EXAMPLES = fileURLToPath(new URL("../../../examples/", import.meta.url));

const SIZES = {
  koiratakki: { "sizing-llm": 6, "shop-app": 3 },
  albuquerque: { "oficina-llm": 8, balcao: 3 },
};

async function readExample(user: string): Promise<Configuration> {
  const result = await readFolder(join(EXAMPLES, user, "operators"));
  const problems = result.isErr() ? result.error.map(formatProblem) : [];
  expect(problems).toEqual([]);
  return result.unwrap();
}

async function readDaemons(user: string): Promise<readonly ProcessSettings[]> {
  const folder = join(EXAMPLES, user, "settings");
  const files = (await readdir(folder)).sort();
  return await Promise.all(
    files.map(async (file) =>
      (await readProcessSettings(join(folder, file))).unwrap()
    ),
  );
}

function* addressesOf(content: Configuration): Generator<string> {
  for (const group of Object.values(content.groups)) {
    for (const { address } of Object.values(group.replicas)) yield address;
  }
  for (const cache of Object.values(content.caches)) {
    for (const { address } of Object.values(cache.vms)) yield address;
  }
  for (const service of Object.values(content.services)) {
    yield* service.addresses;
  }
  if (content.legacy !== undefined) yield content.legacy.address;
}

for (const [user, groups] of Object.entries(SIZES)) {
  test(`${user}: the operators' folder has the sizes stated in the design document`, async () => {
    const content = await readExample(user);
    const sizes = Object.entries(content.groups)
      .map(([name, group]) => [name, Object.keys(group.replicas).length]);
    expect(Object.fromEntries(sizes)).toEqual(groups);
    expect(Object.keys(content.customers).length).toEqual(10);
    expect(content.link.bytesPerSecond * 8).toEqual(20_000_000);
  });

  test(`${user}: the example API keys match the customers' key hashes`, async () => {
    const content = await readExample(user);
    const file = join(EXAMPLES, user, "keys.example.json");
    const keys: Record<string, string> = JSON.parse(
      await readFile(file, "utf8"),
    );
    for (const [name, customer] of Object.entries(content.customers)) {
      const hash = createHash("sha256").update(keys[name] ?? "").digest("hex");
      expect(customer.keyHashes).toEqual([hash]);
    }
  });

  test(`${user}: daemons match the folder's zones and no port is used twice`, async () => {
    const content = await readExample(user);
    const daemons = await readDaemons(user);
    expect(daemons.length >= 6 && daemons.length <= 8).toEqual(true);
    for (const { region, availabilityZone } of daemons) {
      const zones = content.regions[region]?.availabilityZones ?? [];
      expect(zones.includes(availabilityZone)).toEqual(true);
    }
    const used = [
      ...addressesOf(content),
      ...daemons.flatMap(({ listeners }) => Object.values(listeners)),
      daemons[0]?.platform ?? "",
    ];
    expect(new Set(used).size).toEqual(used.length);
    const base = user === "koiratakki" ? 21_000 : 22_000;
    for (const address of used) {
      const port = Number(address.replace("127.0.0.1:", ""));
      expect(port >= base && port < base + 1_000).toEqual(true);
    }
  });
}
