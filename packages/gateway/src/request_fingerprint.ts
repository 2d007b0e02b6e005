/**
 * Identifies requests with the same content: what a caller sends again has the
 * same fingerprint under another id.
 */
import type { DispatchRequest } from "@peridotvalve/dispatch";
import { createHash } from "node:crypto";

/** What of a request the replica runs, beside its dispatch request. */
export interface RequestContent {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: Uint8Array | undefined;
}

const SERVICE_LENGTH = 6;

/** 96 bits, so that no caller finds a request with the content key of another. */
const CONTENT_LENGTH = 16;

/**
 * Hash of the service, and one of the caller and the content. Prompts are told
 * apart by their parts as well, which name what the body holds. Logs and
 * heartbeats contain no more of a request than this.
 */
export function fingerprintOf(
  { service, customer, route, prompt }: Omit<DispatchRequest, "fingerprint">,
  { method, path, body }: RequestContent,
): string {
  const parts = prompt?.parts.map(({ id }) => id) ?? [];
  const caller = customer?.name ?? null;
  const head = [caller, route.host, method, path, prompt?.model, parts];
  const content = createHash("sha256").update(JSON.stringify(head));
  if (body !== undefined) content.update(body);
  const key = content.digest("base64url").slice(0, CONTENT_LENGTH);
  return `${hashOf(service).slice(0, SERVICE_LENGTH)}/${key}`;
}

function hashOf(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}
