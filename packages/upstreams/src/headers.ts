/**
 * Tells end-to-end headers from hop-by-hop headers.
 */

/** Hop-by-hop headers (RFC 9110, 7.6.1), and those that the client sets. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** True when a header may be forwarded with its message. */
export function isEndToEndHeader(name: string): boolean {
  return !HOP_BY_HOP_HEADERS.has(name.toLowerCase());
}
