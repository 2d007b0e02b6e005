/**
 * Client of an engine over HTTP (docs/design.md, 7.2).
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  BlockName,
  Generation,
  GenerationEvent,
  LoadReport,
  Milliseconds,
  Settlement,
  StoredBlock,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import {
  type AttemptFailure,
  type CacheEvents,
  Engine,
  type StreamDeadlines,
  type WeightsOrder,
} from "./engine.ts";
import { readGeneration } from "./generation_stream.ts";
import { createHttpClient, type HttpClientOptions } from "./http_client.ts";
import {
  cacheEventsSchema,
  loadReportSchema,
  storedBlockSchema,
} from "./http_schemas.ts";
import { fetchJson, postCommand } from "./http_json.ts";

export interface HttpEngineOptions extends HttpClientOptions {
  readonly clock: Clock;
}

export abstract class HttpEngine extends Engine {
  /** Aborts every exchange and closes all connections. */
  abstract close(): Promise<void>;
}

export function createHttpEngine(options: HttpEngineOptions): HttpEngine {
  const client = createHttpClient(options);
  const { clock } = options;

  return new (class extends HttpEngine {
    override readonly address = options.address;

    override generate(
      generation: Generation,
      deadlines: StreamDeadlines,
    ): AsyncGenerator<GenerationEvent, AttemptFailure | undefined, void> {
      return readGeneration({ client, clock }, generation, { deadlines });
    }

    override cancel(
      attempt: { readonly attempt: string; readonly customer: string },
      timeout: Milliseconds,
    ): Promise<Settlement<void>> {
      const { attempt: id, customer } = attempt;
      const body = { attempt: id, customer };
      return postCommand(client, { path: "/cancel", body, timeout });
    }

    override loadWeights(
      order: WeightsOrder,
      timeout: Milliseconds,
    ): Promise<Settlement<void>> {
      const body = { version: order.version, fence: order.fence };
      return postCommand(client, { path: "/weights", body, timeout });
    }

    override async exportBlock(
      name: BlockName,
      limits: { readonly store: string; readonly timeout: Milliseconds },
    ): Promise<Settlement<StoredBlock>> {
      const response = await postCommand(client, {
        path: "/blocks/export",
        body: { ...toBlockFields(name), store: limits.store },
        timeout: limits.timeout,
        schema: storedBlockSchema,
      });
      if (response.kind !== "done") return response;
      return { kind: "done", value: { name, ...response.value } };
    }

    override importBlock(
      block: StoredBlock,
      limits: { readonly store: string; readonly timeout: Milliseconds },
    ): Promise<Settlement<void>> {
      return postCommand(client, {
        path: "/blocks/import",
        body: {
          ...toBlockFields(block.name),
          store: limits.store,
          generation: block.generation,
          checksum: block.checksum,
        },
        timeout: limits.timeout,
      });
    }

    override readLoad(
      timeout: Milliseconds,
    ): Promise<Result<LoadReport, string>> {
      const path = "/load";
      return fetchJson(client, { path, timeout, schema: loadReportSchema });
    }

    override readCacheEvents(
      after: number,
      timeout: Milliseconds,
    ): Promise<Result<CacheEvents, string>> {
      const path = `/cache-events?after=${after}`;
      return fetchJson(client, { path, timeout, schema: cacheEventsSchema });
    }

    override async close(): Promise<void> {
      await client.close();
    }
  })();
}

function toBlockFields(name: BlockName): Readonly<Record<string, string>> {
  return { customer: name.customer, weights: name.weights, block: name.block };
}
