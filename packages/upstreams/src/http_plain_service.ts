/**
 * Client of a plain service over HTTP. It passes calls and responses on as they
 * are, apart from the headers that belong to one connection.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { isEndToEnd } from "./end_to_end.ts";
import { createHttpClient, type HttpClientOptions } from "./http_client.ts";
import {
  PlainService,
  type ServiceAnswer,
  type ServiceCall,
  type ServiceFailure,
} from "./plain_service.ts";

export abstract class HttpPlainService extends PlainService {
  /** Ends every call and closes all connections. */
  abstract close(): Promise<void>;
}

export function createHttpPlainService(
  options: HttpClientOptions,
): HttpPlainService {
  const client = createHttpClient(options);

  return new (class extends HttpPlainService {
    override readonly address = options.address;

    override async call(
      call: ServiceCall,
      limits: { readonly timeout: Milliseconds; readonly signal: AbortSignal },
    ): Promise<Result<ServiceAnswer, ServiceFailure>> {
      const request = { ...call, headers: withoutConnection(call.headers) };
      const answer = await client.send(request, limits);
      if (answer.isErr()) {
        const { sent, reason, message } = answer.error;
        return Err({ sent: sent ? "sent" : "not sent", reason, message });
      }
      const { status, headers, body } = answer.value;
      return Ok({ status, headers: withoutConnection(headers), body });
    }

    override async close(): Promise<void> {
      await client.close();
    }
  })();
}

function withoutConnection(
  headers: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  const named = headers["connection"]?.toLowerCase().split(/\s*,\s*/) ?? [];
  const entries = Object.entries(headers).filter(([name]) => {
    const lower = name.toLowerCase();
    return isEndToEnd(lower) && !named.includes(lower);
  });
  return Object.fromEntries(entries);
}
