/**
 * Copies an example folder with free ports in place of its own, so that
 * several deployments run side by side.
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

// Below the usual range of ports for outgoing connections.
const FIRST_PORT = 10_000;
const PORT_RANGE = 18_000;
const MAX_PORT_ATTEMPTS = 10_000;

/**
 * Ports of one deployment lie in one slice. Ports are checked seconds before
 * they are listened on, so two deployments that start together would pick a
 * common one in one of ten cases if each port were drawn from the whole range.
 */
const SLICE_PORTS = 180;

/** Changes the text of a settings file before it is used. */
export type Edit = (text: string, file: string) => string;

export interface ExampleCopy {
  readonly folder: string;
  /** The address that stands in place of one of the example's. */
  readonly addressOf: (address: string) => string;
}

export async function copyExample(
  example: string,
  target: string,
  edit: Edit = (text) => text,
): Promise<ExampleCopy> {
  mkdirSync(target, { recursive: true });
  cpSync(example, target, { recursive: true });
  const files = listYaml(target);
  const ports = new Map<string, number>();
  const sliceCount = PORT_RANGE / SLICE_PORTS;
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
  throw new Error("no free port was found");
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

/** Replaces the balancer's delay, so that stopping a deployment is quick. */
export function shortenShutdown(text: string): string {
  return text.replace(/balancerDelay: \d+/, "balancerDelay: 200");
}
