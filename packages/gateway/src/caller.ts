/**
 * One caller's request and the way its answer goes back. A success is sent
 * whole or visibly broken off; a refusal says truthfully that nothing ran.
 */
import type { Milliseconds } from "@peridotvalve/types";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Headers that concern one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** When the caller may come back; only for requests that have not run. */
  readonly retryAfter?: Milliseconds;
}

export abstract class Caller {
  /** True when the caller has left before the end of its answer. */
  abstract hasLeft(): boolean;
  abstract onLeave(listener: () => void): void;
  /** Starts the answer of a replica. */
  abstract begin(status: number, headers: readonly string[]): void;
  abstract hasBegun(): boolean;
  /** Resolves when the caller has room for more, or has left. */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract finish(): void;
  /** Breaks the answer off in a way that the caller sees. */
  abstract breakOff(): void;
  abstract refuse(refusal: Refusal): void;
}

export interface CallerOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: { readonly name: string; readonly value: string };
  /** True when the connection is to be closed behind the answer. */
  readonly isLast: () => boolean;
}

export function createCaller(options: CallerOptions): Caller {
  const { response, requestId, isLast } = options;
  const listeners: (() => void)[] = [];
  let left = false;
  response.once("close", () => {
    if (response.writableFinished) return;
    left = true;
    for (const listener of listeners) listener();
  });
  // A reset of the connection is followed by "close".
  response.on("error", () => {});

  return new (class extends Caller {
    override hasLeft(): boolean {
      return left;
    }

    override onLeave(listener: () => void): void {
      if (left) listener();
      else listeners.push(listener);
    }

    override begin(status: number, headers: readonly string[]): void {
      if (isLast()) response.shouldKeepAlive = false;
      response.writeHead(status, [...passOn(headers)]);
    }

    override hasBegun(): boolean {
      return response.headersSent;
    }

    override async write(bytes: Uint8Array): Promise<void> {
      if (left || response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        const done = () => {
          response.off("drain", done);
          response.off("close", done);
          resolve();
        };
        response.once("drain", done);
        response.once("close", done);
      });
    }

    override finish(): void {
      response.end();
    }

    override breakOff(): void {
      response.destroy();
    }

    override refuse({ status, reason, retryAfter }: Refusal): void {
      if (left || response.headersSent) return;
      if (isLast()) response.shouldKeepAlive = false;
      const body = Buffer.from(JSON.stringify({ error: reason }));
      const headers = [
        "content-type",
        "application/json",
        "content-length",
        String(body.length),
        requestId.name,
        requestId.value,
      ];
      if (retryAfter !== undefined) {
        headers.push("retry-after", (retryAfter / 1_000).toFixed(2));
      }
      response.writeHead(status, headers);
      response.end(body);
    }
  })();
}

/** The headers that go on to the other side, of a flat list. */
export function* passOn(headers: readonly string[]): Generator<string> {
  const named = new Set<string>();
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() !== "connection") continue;
    for (const name of headers[at + 1]?.split(",") ?? []) {
      named.add(name.trim().toLowerCase());
    }
  }
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const [name = "", value = ""] = [headers[at], headers[at + 1]];
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || named.has(lower)) continue;
    yield name;
    yield value;
  }
}

export type Body =
  | { readonly kind: "whole"; readonly bytes: Uint8Array | undefined }
  | { readonly kind: "too long" }
  | { readonly kind: "broken off" };

/** Reads the whole body of a request. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Body> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Uint8Array>) {
      size += chunk.length;
      if (size > maxBytes) return { kind: "too long" };
      chunks.push(chunk);
    }
  } catch {
    // The caller broke its request off; its connection closes, which is seen
    // and logged as a caller that has left.
    return { kind: "broken off" };
  }
  if (!request.complete) return { kind: "broken off" };
  if (size === 0) return { kind: "whole", bytes: undefined };
  const bytes = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  return { kind: "whole", bytes };
}
