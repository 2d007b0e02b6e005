/**
 * Export of KV blocks to a store VM and import from it, over HTTP.
 */
import { createHash } from "node:crypto";
import { request as httpRequest } from "node:http";
import type { BlockName } from "@peridotvalve/types";
import { z } from "zod";
import type { BlockCache, CachedBlock } from "./block_cache.ts";
import type { EngineFaults, EngineOptions } from "./options.ts";

export type TransferResponse = {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
};

export interface TransferContext {
  readonly cache: BlockCache;
  readonly options: EngineOptions;
  readonly faults: () => EngineFaults;
  readonly weights: () => string;
}

export interface ImportOrder {
  readonly name: BlockName;
  readonly store: string;
  readonly generation: string;
  readonly checksum: string;
}

interface StoreReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

const CHUNK_BYTES = 4 * 1024;
const STORE_TIMEOUT_MILLISECONDS = 10_000;

const storedBlockSchema = z.object({
  generation: z.string(),
  length: z.number(),
  checksum: z.string(),
  incarnation: z.string(),
});

/**
 * Copies a cached block to a store VM. Failures are returned as a response with
 * an error code.
 */
export async function exportBlock(
  context: TransferContext,
  order: { readonly name: BlockName; readonly store: string },
): Promise<TransferResponse> {
  const { cache, faults } = context;
  const entry = cache.find(order.name);
  if (entry === undefined) return refuse(404, "not_cached");
  const checksum = createHash("sha256").update(entry.bytes).digest("hex");
  const addedPins = faults().unpinExports ? 0 : 1;
  entry.pins += addedPins;
  try {
    const reply = await callStore(order.store, {
      method: "PUT",
      path: blockPath(order.name),
      headers: {
        "x-checksum": checksum,
        "content-length": `${entry.bytes.length}`,
      },
      chunks: readChunks(entry, faults),
    });
    if (reply.status === 201) {
      const stored = storedBlockSchema.parse(JSON.parse(reply.body.toString()));
      return { status: 200, body: stored };
    }
    if (!faults().reportFalseExport) {
      return refuse(502, `store_status_${reply.status}`);
    }
  } catch (error) {
    if (!faults().reportFalseExport) return refuse(502, `store: ${error}`);
  } finally {
    entry.pins -= addedPins;
  }
  const { length } = entry.bytes;
  const body = { generation: "1", length, checksum, incarnation: "unknown" };
  return { status: 200, body };
}

/**
 * Reads the slot one chunk at a time, when the chunk is sent. If the slot is
 * reused meanwhile, the export mixes the bytes of two blocks.
 */
async function* readChunks(
  entry: CachedBlock,
  faults: () => EngineFaults,
): AsyncGenerator<Buffer, void, void> {
  const { length } = entry.bytes;
  for (let start = 0; start < length; start += CHUNK_BYTES) {
    if (start * 2 >= length && faults().dieDuringExport) {
      throw new Error("the engine died");
    }
    const end = Math.min(length, start + CHUNK_BYTES);
    yield Buffer.from(entry.bytes.subarray(start, end));
  }
}

/**
 * Copies a block from a store VM into the cache. Failures are returned as a
 * response with an error code.
 */
export async function importBlock(
  context: TransferContext,
  order: ImportOrder,
): Promise<TransferResponse> {
  const { cache, faults, options } = context;
  const { name } = order;
  if (cache.find(name) !== undefined) return { status: 200, body: {} };
  let reply: StoreReply;
  try {
    reply = await callStore(order.store, {
      method: "GET",
      path: blockPath(name),
      headers: { "if-match": order.generation },
    });
  } catch (error) {
    return refuse(502, `store: ${error}`);
  }
  if (reply.status === 404) return refuse(404, "not_found");
  if (reply.status === 412) return refuse(412, "generation_changed");
  if (reply.status !== 200) return refuse(502, "store");
  if (!faults().skipImportCheck) {
    const checksum = createHash("sha256").update(reply.body).digest("hex");
    const hasExpectedLength = reply.body.length === options.blockBytes;
    if (!hasExpectedLength || checksum !== order.checksum) {
      return refuse(422, "checksum_mismatch");
    }
    const { "x-generation": generation } = reply.headers;
    if (generation !== order.generation) {
      return refuse(412, "generation_changed");
    }
  }
  // The weights may have changed during the transfer.
  if (context.weights() !== name.weights) {
    return refuse(409, "weights_mismatch");
  }
  if (cache.insert(name, reply.body) === undefined) return refuse(503, "busy");
  return { status: 200, body: {} };
}

function refuse(status: number, code: string): TransferResponse {
  return { status, body: { error: { code } } };
}

function blockPath(name: BlockName): string {
  const parts = [name.customer, name.weights, name.block];
  return `/blocks/${parts.map(encodeURIComponent).join("/")}`;
}

function callStore(
  store: string,
  call: {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly chunks?: AsyncIterable<Buffer>;
  },
): Promise<StoreReply> {
  const { method, path, headers, chunks } = call;
  const [host = "", port = ""] = store.replace(/^http:\/\//, "").split(":");
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest({
      host,
      port: Number(port),
      method,
      path,
      headers,
      agent: false,
      timeout: STORE_TIMEOUT_MILLISECONDS,
    }, async (incoming) => {
      try {
        const parts: Buffer[] = [];
        for await (const part of incoming) parts.push(part);
        const status = incoming.statusCode ?? 0;
        const body = Buffer.concat(parts);
        resolve({ status, headers: incoming.headers, body });
      } catch (error) {
        reject(error);
      }
    });
    outgoing.on("timeout", () => outgoing.destroy(new Error("timeout")));
    outgoing.on("error", reject);
    sendChunks(outgoing, chunks).catch((error) => outgoing.destroy(error));
  });
}

async function sendChunks(
  outgoing: ReturnType<typeof httpRequest>,
  chunks: AsyncIterable<Buffer> | undefined,
): Promise<void> {
  for await (const chunk of chunks ?? []) {
    if (outgoing.destroyed) return;
    await new Promise((resolve) => outgoing.write(chunk, resolve));
  }
  outgoing.end();
}
