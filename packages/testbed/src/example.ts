/**
 * Copies an example folder and replaces its ports by free ones, so that several
 * deployments can run at the same time.
 */
import { createServer } from "node:net";
import {
  cpSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";

const LOOPBACK_ADDRESS = /127\.0\.0\.1:(\d+)/g;

// The range lies below the usual ephemeral ports, which outgoing connections
// use.
const FIRST_PORT = 10_000;
const PORT_COUNT = 18_000;
const MAX_PORT_ATTEMPTS = 10_000;

/**
 * Ports per slice. A deployment takes its ports from one random slice of the
 * range. Ports are checked seconds before they are listened on: if each port
 * were drawn from the whole range, two deployments that start at the same time
 * would pick a common port in one of ten cases.
 */
const SLICE_PORTS = 180;

/** Returns the changed text of a YAML file; `file` is its path. */
export type YamlEdit = (text: string, file: string) => string;

export interface ExampleCopy {
  readonly folder: string;
  /** The address in the copy that replaces an address of the example. */
  readonly addressOf: (address: string) => string;
}

/** Copies the example to `target`. Rejects when no free port is found. */
export async function copyExample(
  example: string,
  target: string,
  edit: YamlEdit = (text) => text,
): Promise<ExampleCopy> {
  mkdirSync(target, { recursive: true });
  cpSync(example, target, { recursive: true });
  const files = listYaml(target);
  const ports = new Map<string, number>();
  const sliceCount = PORT_COUNT / SLICE_PORTS;
  let nextPort = FIRST_PORT +
    Math.floor(Math.random() * sliceCount) * SLICE_PORTS;
  const texts = files.map((file) => readFileSync(file, "utf8"));
  for (const text of texts) {
    for (const [, port = ""] of text.matchAll(LOOPBACK_ADDRESS)) {
      if (ports.has(port)) continue;
      const free = await findFreePort(nextPort);
      ports.set(port, free);
      nextPort = free + 1;
    }
  }
  const replace = (text: string) =>
    text.replace(
      LOOPBACK_ADDRESS,
      (address, port: string) =>
        ports.has(port) ? `127.0.0.1:${ports.get(port)}` : address,
    );
  for (const [index, file] of files.entries()) {
    writeFileSync(file, edit(replace(texts[index] ?? ""), file));
  }
  return { folder: target, addressOf: replace };
}

function listYaml(folder: string): readonly string[] {
  const entries = readdirSync(folder, { recursive: true }) as string[];
  return entries
    .filter((entry) => entry.endsWith(".yaml"))
    .map((entry) => join(folder, entry));
}

async function findFreePort(first: number): Promise<number> {
  for (let count = 0; count < MAX_PORT_ATTEMPTS; count += 1) {
    if (await isFree(first + count)) return first + count;
  }
  throw new Error("found no free port for the deployment");
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}

/** Sets `balancerDelay` to 200 ms, so that daemons stop quickly. */
export function shortenBalancerDelay(text: string): string {
  return text.replace(/balancerDelay: \d+/, "balancerDelay: 200");
}
