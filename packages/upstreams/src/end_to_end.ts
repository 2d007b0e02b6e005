/**
 * Headers that describe a message, in contrast to those of one connection.
 */

/** Headers of one connection (RFC 9110, 7.6.1), and those set by the client. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** True when a header may be passed on with its message. */
export function isEndToEnd(name: string): boolean {
  return !CONNECTION_HEADERS.has(name.toLowerCase());
}
