// Loopback addresses and free ports of one run, and small helpers.
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export { sleep };

// A network of 127.0.0.0/8 for this run, so that runs do not share addresses.
const network = `127.${20 + process.pid % 200}.${(process.pid >> 8) % 250}`;
let lastHost = 0;

/** Returns a loopback address that nothing else in this run uses. */
export function takeHost() {
  lastHost += 1;
  return `${network}.${lastHost}`;
}

/** Returns different ports that are free on the address now. */
export async function findPorts(host, count) {
  const probes = Array.from({ length: count }, () => createServer());
  const ports = [];
  for (const probe of probes) {
    probe.listen(0, host);
    await once(probe, "listening");
    ports.push(probe.address().port);
  }
  for (const probe of probes) probe.close();
  return ports;
}

/** Polls a condition; returns false when it is not met in time. */
export async function waitFor(isMet, timeout) {
  const end = performance.now() + timeout;
  while (!await isMet()) {
    if (performance.now() > end) return false;
    await sleep(20);
  }
  return true;
}

export function readBody(message) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("end", () => resolve(Buffer.concat(chunks)));
    message.on("error", reject);
  });
}
