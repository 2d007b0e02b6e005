/**
 * Stand-in for the weight store, with limited bandwidth. Up to two downloads
 * run at the full rate; more of them share the bandwidth of two.
 */
import { z } from "zod";
import {
  commonFaults,
  sendJson,
  serverOptions,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";

export const weightStoreOptions = serverOptions.extend({
  /** Size of one weight version in bytes. */
  bytes: z.coerce.number().int().positive().default(256 * 1024),
  /** Rate of each download while at most two run. */
  bytesPerSecond: z.coerce.number().positive().default(512 * 1024),
});

export type WeightStoreStandinOptions = z.input<typeof weightStoreOptions>;

const weightStoreFaults = commonFaults.extend({
  /** Divides the rate of downloads. */
  slowFactor: z.number().positive().default(1),
});

const FULL_SPEED_DOWNLOADS = 2;
const CHUNKS = 32;

/**
 * Starts the stand-in. Rejects when an option is invalid or the port is in use.
 */
export async function startWeightStoreStandin(
  input: WeightStoreStandinOptions = {},
): Promise<Standin> {
  const options = weightStoreOptions.parse(input);
  const chunk = Buffer.alloc(Math.ceil(options.bytes / CHUNKS));
  let active = 0;
  let peak = 0;

  async function download(request: StandinRequest): Promise<void> {
    const { response } = request;
    response.writeHead(200, { "content-type": "application/octet-stream" });
    active += 1;
    peak = Math.max(peak, active);
    try {
      for (let index = 0; index < CHUNKS && !response.destroyed; index += 1) {
        const rate = sharedRate(active, options.bytesPerSecond);
        const slow = server.faults().slowFactor;
        await server.wait(chunk.length / rate * 1_000 * slow);
        response.write(chunk);
      }
    } finally {
      active -= 1;
    }
    response.end();
  }

  function readStats(request: StandinRequest): void {
    sendJson(request.response, 200, { active, peak });
  }

  const server = await startServer({
    options,
    faultSchema: weightStoreFaults,
    route(method, path) {
      if (method !== "GET") return undefined;
      if (path === "/stats") return readStats;
      return path.startsWith("/weights/") ? download : undefined;
    },
  });
  return server;
}

/** The rate of each of `active` downloads, in the unit of `fullRate`. */
export function sharedRate(active: number, fullRate: number): number {
  return fullRate * Math.min(1, FULL_SPEED_DOWNLOADS / active);
}
