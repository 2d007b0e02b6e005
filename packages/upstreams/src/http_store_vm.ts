/**
 * Client of a store VM over HTTP (docs/design.md, 7.3).
 */
import type {
  BlockName,
  Milliseconds,
  Settlement,
  StoredBlock,
} from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { createHttpClient, type HttpClientOptions } from "./http_client.ts";
import { statsSchema, storedBlockSchema } from "./http_schemas.ts";
import { fetchJson } from "./http_json.ts";
import { type StoreStats, StoreVm } from "./store_vm.ts";

export abstract class HttpStoreVm extends StoreVm {
  /** Aborts every exchange and closes all connections. */
  abstract close(): Promise<void>;
}

export function createHttpStoreVm(options: HttpClientOptions): HttpStoreVm {
  const client = createHttpClient(options);

  return new (class extends HttpStoreVm {
    override readonly address = options.address;

    override async deleteBlock(
      block: StoredBlock,
      timeout: Milliseconds,
    ): Promise<Settlement<void>> {
      const response = await client.send({
        method: "DELETE",
        path: blockPath(block.name),
        headers: { "if-match": block.generation },
      }, { timeout });
      if (response.isErr()) {
        const { sent, message } = response.error;
        return { kind: sent ? "unknown" : "not done", reason: message };
      }
      const { status } = response.value;
      if (status === 200 || status === 204) {
        return { kind: "done", value: undefined };
      }
      const kind = status === 404 || status === 412 ? "not done" : "unknown";
      return { kind, reason: `status ${status}` };
    }

    override async findBlock(
      name: BlockName,
      timeout: Milliseconds,
    ): Promise<Result<StoredBlock | undefined, string>> {
      const request = { method: "HEAD", path: blockPath(name) };
      const response = await client.send(request, { timeout });
      if (response.isErr()) return Err(response.error.message);
      const { status, headers } = response.value;
      if (status === 404) return Ok(undefined);
      if (status !== 200) return Err(`unexpected status ${status}`);
      const stored = storedBlockSchema.safeParse({
        generation: headers["x-generation"],
        length: Number(headers["content-length"]),
        checksum: headers["x-checksum"],
        incarnation: headers["x-incarnation"],
      });
      if (!stored.success) return Err("unexpected response headers");
      return Ok({ name, ...stored.data });
    }

    override readStats(
      timeout: Milliseconds,
    ): Promise<Result<StoreStats, string>> {
      const path = "/stats";
      return fetchJson(client, { path, timeout, schema: statsSchema });
    }

    override async close(): Promise<void> {
      await client.close();
    }
  })();
}

function blockPath(name: BlockName): string {
  const parts = [name.customer, name.weights, name.block];
  return `/blocks/${parts.map(encodeURIComponent).join("/")}`;
}
