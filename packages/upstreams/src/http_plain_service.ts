/**
 * Client of a plain service over HTTP. Forwards calls and responses unchanged,
 * except for hop-by-hop headers.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { isEndToEndHeader } from "./headers.ts";
import { createHttpClient, type HttpClientOptions } from "./http_client.ts";
import {
  type CallLimits,
  PlainService,
  type ServiceCall,
  type ServiceFailure,
  type ServiceResponse,
} from "./plain_service.ts";

export abstract class HttpPlainService extends PlainService {
  /** Aborts every call and closes all connections. */
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
      limits: CallLimits,
    ): Promise<Result<ServiceResponse, ServiceFailure>> {
      const request = { ...call, headers: removeHopByHopHeaders(call.headers) };
      const response = await client.send(request, limits);
      if (response.isErr()) {
        const { sent, reason, message } = response.error;
        return Err({ sent: sent ? "sent" : "not sent", reason, message });
      }
      const { status, headers, body } = response.value;
      return Ok({ status, headers: removeHopByHopHeaders(headers), body });
    }

    override async close(): Promise<void> {
      await client.close();
    }
  })();
}

function removeHopByHopHeaders(
  headers: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  const connectionOptions =
    headers["connection"]?.toLowerCase().split(/\s*,\s*/) ?? [];
  const entries = Object.entries(headers).filter(([name]) => {
    const lower = name.toLowerCase();
    return isEndToEndHeader(lower) && !connectionOptions.includes(lower);
  });
  return Object.fromEntries(entries);
}
