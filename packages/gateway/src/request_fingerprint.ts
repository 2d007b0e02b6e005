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
 * Hash of the service, and one of the caller, the path and the body. Logs and
 * heartbeats contain no more of a request than this.
 *
 * The model and the parts of a prompt, which callers state in headers, count
 * only without a body: with one, a caller that states others each time would
 * get a new fingerprint for each copy of a request that crashes replicas. A
 * short body that many sound requests share, such as `{}`, is no exception, as
 * such copies could use it too. These requests are protected by the evidence
 * instead: a single crash holds none, and a complete answer to one proves all.
 */
export function fingerprintOf(
  { service, customer, route, prompt }: Omit<DispatchRequest, "fingerprint">,
  { method, path, body }: RequestContent,
): string {
  const caller = customer?.name ?? null;
  const head = [caller, route.host, method, path];
  const content = createHash("sha256");
  if (body !== undefined && body.length > 0) {
    content.update(JSON.stringify(head)).update(body);
  } else {
    const parts = prompt?.parts.map(({ id }) => id) ?? [];
    content.update(JSON.stringify([...head, prompt?.model, parts]));
  }
  const key = content.digest("base64url").slice(0, CONTENT_LENGTH);
  return `${hashOf(service).slice(0, SERVICE_LENGTH)}/${key}`;
}

function hashOf(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}
