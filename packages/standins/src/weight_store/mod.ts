/**
 * A rate limited weight store. Two downloads run at full speed; more share the
 * speed of two.
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
  /** Size of one weight version. */
  bytes: z.coerce.number().int().positive().default(256 * 1024),
  /** Rate of one of up to two downloads. */
  bytesPerSecond: z.coerce.number().positive().default(512 * 1024),
});

export type WeightStoreStandinOptions = z.input<typeof weightStoreOptions>;

const weightStoreFaults = commonFaults.extend({
  /** Divides the rate. */
  slowFactor: z.number().positive().default(1),
});

const FULL_SPEED_DOWNLOADS = 2;
const CHUNK_COUNT = 32;

export async function startWeightStoreStandin(
  input: WeightStoreStandinOptions = {},
): Promise<Standin> {
  const options = weightStoreOptions.parse(input);
  const chunk = Buffer.alloc(Math.ceil(options.bytes / CHUNK_COUNT));
  let active = 0;
  let peak = 0;

  async function download(request: StandinRequest): Promise<void> {
    const { response } = request;
    response.writeHead(200, { "content-type": "application/octet-stream" });
    active += 1;
    peak = Math.max(peak, active);
    try {
      for (
        let index = 0;
        index < CHUNK_COUNT && !response.destroyed;
        index += 1
      ) {
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

/** The rate of one download while so many are active. */
export function sharedRate(active: number, fullRate: number): number {
  return fullRate * Math.min(1, FULL_SPEED_DOWNLOADS / active);
}
