/**
 * Stand-in for a store VM (docs/design.md, section 7.3).
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import { createLink, type Link } from "../link.ts";
import {
  commonFaults,
  sendError,
  sendJson,
  serverOptions,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";
import { createBlockTable, type TableEntry } from "./block_table.ts";

export const storeVmOptions = serverOptions.extend({
  /** Capacities of the tiers in bytes. */
  memoryLimit: z.coerce.number().int().positive().default(64 * 1024 * 1024),
  diskLimit: z.coerce.number().int().nonnegative().default(256 * 1024 * 1024),
  linkBytesPerSecond: z.coerce.number().positive().default(250e6),
  diskBytesPerSecond: z.coerce.number().positive().default(100e6),
});

export type StoreVmStandinOptions = z.input<typeof storeVmOptions>;

const storeVmFaults = commonFaults.extend({
  /** Multiplies the duration of network and disk transfers. */
  slowFactor: z.number().positive().default(1),
  /** Refuses all writes with 507 (insufficient storage). */
  fullDisk: z.boolean().default(false),
  /** Refuses a write with 507 after receiving more than this many bytes. */
  fullAfterBytes: z.number().int().nonnegative().optional(),
  /** Keeps each read waiting between its head and its first bytes. */
  holdReads: z.boolean().default(false),
  /** Flips one bit of each block that is read. */
  corruptReads: z.boolean().default(false),
});

const CHUNK_BYTES = 4 * 1024;

/** Interval at which a held read checks whether it may continue. */
const HOLD_CHECK_MILLISECONDS = 5;

/**
 * Starts the stand-in. Rejects when an option is invalid or the port is in use.
 */
export async function startStoreVmStandin(
  input: StoreVmStandinOptions = {},
): Promise<Standin> {
  const options = storeVmOptions.parse(input);
  const table = createBlockTable(options);
  let heldReads = 0;

  /**
   * Reads the request body into reserved memory and verifies length and
   * checksum. Returns an error code, or undefined on success.
   */
  async function receive(
    request: StandinRequest,
    bytes: Buffer,
  ): Promise<string | undefined> {
    let length = 0;
    for await (const part of request.incoming) {
      const { slowFactor, fullAfterBytes } = server.faults();
      await link.transfer(part.length, slowFactor);
      if (length + part.length > bytes.length) return "length_mismatch";
      length += part.copy(bytes, length);
      if (length > (fullAfterBytes ?? Infinity)) return "full";
    }
    if (length !== bytes.length) return "length_mismatch";
    const checksum = createHash("sha256").update(bytes).digest("hex");
    if (checksum !== request.headers["x-checksum"]) return "checksum_mismatch";
    return undefined;
  }

  async function put(request: StandinRequest): Promise<void> {
    const { response, path, headers } = request;
    const length = Number(headers["content-length"]);
    if (!Number.isSafeInteger(length) || length < 1) {
      return sendError(response, 411, { code: "length_required" });
    }
    const incarnation = table.incarnation();
    const full = server.faults().fullDisk;
    const bytes = full ? undefined : table.reserve(length);
    if (bytes === undefined) {
      response.shouldKeepAlive = false;
      return sendError(response, 507, { code: "full" });
    }
    const refusal = await receive(request, bytes).catch(() => "aborted");
    if (refusal !== undefined || incarnation !== table.incarnation()) {
      table.release(bytes);
      response.shouldKeepAlive = false;
      const code = refusal ?? "restarted";
      return sendError(response, code === "full" ? 507 : 422, { code });
    }
    const checksum = String(headers["x-checksum"]);
    const { generation } = table.commit(path, { bytes, checksum });
    sendJson(response, 201, { generation, length, checksum, incarnation });
  }

  async function get(request: StandinRequest): Promise<void> {
    const entry = findMatching(request);
    if (entry === undefined) return;
    const { response } = request;
    response.writeHead(200, describeEntry(entry));
    response.flushHeaders();
    heldReads += 1;
    while (server.faults().holdReads && !response.destroyed) {
      await server.wait(HOLD_CHECK_MILLISECONDS);
    }
    heldReads -= 1;
    const { bytes, tier } = entry;
    for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
      const end = Math.min(bytes.length, start + CHUNK_BYTES);
      const { slowFactor } = server.faults();
      if (tier === "disk") await disk.transfer(end - start, slowFactor);
      await link.transfer(end - start, slowFactor);
      if (response.destroyed) return;
      // Copies the buffer as it is now: it may have been reused for another
      // block since the read began.
      const part = Buffer.from(bytes.subarray(start, end));
      if (start === 0 && server.faults().corruptReads) part[0]! ^= 1;
      response.write(part);
    }
    response.end();
  }

  function head(request: StandinRequest): void {
    const entry = findMatching(request);
    if (entry === undefined) return;
    request.response.writeHead(200, describeEntry(entry)).end();
  }

  function remove(request: StandinRequest): void {
    const entry = findMatching(request);
    if (entry === undefined) return;
    table.remove(request.path);
    request.response.writeHead(204).end();
  }

  function findMatching(request: StandinRequest): TableEntry | undefined {
    const entry = table.find(request.path);
    const expected = request.headers["if-match"];
    if (entry === undefined) {
      sendError(request.response, 404, { code: "not_found" });
    } else if (expected !== undefined && expected !== entry.generation) {
      sendError(request.response, 412, { code: "generation_changed" });
    } else {
      return entry;
    }
    return undefined;
  }

  function describeEntry(entry: TableEntry) {
    return {
      "content-type": "application/octet-stream",
      "content-length": entry.bytes.length,
      "x-checksum": entry.checksum,
      "x-generation": entry.generation,
      "x-incarnation": table.incarnation(),
    };
  }

  function readStats(request: StandinRequest): void {
    sendJson(request.response, 200, { ...table.stats(), heldReads });
  }

  function restart(request: StandinRequest): void {
    table.clear();
    sendJson(request.response, 200, table.stats());
  }

  const handlers = new Map(Object.entries({
    PUT: put,
    GET: get,
    HEAD: head,
    DELETE: remove,
  }));

  const server = await startServer({
    options,
    faultSchema: storeVmFaults,
    route(method, path) {
      if (path.startsWith("/blocks/")) return handlers.get(method);
      if (method === "GET" && path === "/stats") return readStats;
      if (method === "POST" && path === "/control/restart") return restart;
      return undefined;
    },
  });
  const link: Link = createLink(options.linkBytesPerSecond, server.wait);
  const disk: Link = createLink(options.diskBytesPerSecond, server.wait);
  return server;
}
