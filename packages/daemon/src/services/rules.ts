/**
 * Whether a call to a plain service may be repeated.
 */
import type { Service } from "@peridotvalve/types";

// Idempotent methods as HTTP defines them (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

export interface Target {
  readonly service: string;
  /** Path and query behind the service's name, with the leading slash. */
  readonly path: string;
}

const SERVICE_URL = /^\/services\/([^/?]+)([/?].*)?$/;

/** Splits `/services/{service}/{path}`; the path is kept as it was sent. */
export function parseTarget(url: string): Target | undefined {
  const match = SERVICE_URL.exec(url);
  const service = match?.[1];
  if (service === undefined) return undefined;
  const rest = match?.[2] ?? "/";
  return { service, path: rest.startsWith("/") ? rest : `/${rest}` };
}

/** HTTP's own rule holds for a service that is not configured. */
export function isIdempotent(
  service: Service | undefined,
  call: { readonly method: string; readonly path: string },
): boolean {
  const rule = service?.paths.find((candidate) =>
    hasPrefix(call.path, candidate.prefix) &&
    (candidate.methods.length === 0 || candidate.methods.includes(call.method))
  );
  return rule?.idempotent ?? IDEMPOTENT_METHODS.has(call.method);
}

/** Compares whole path segments, so that "/orders" is no prefix of "/ordersx". */
function hasPrefix(path: string, prefix: string): boolean {
  const bare = normalizePath(path);
  const start = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return bare === start || bare.startsWith(`${start}/`);
}

/**
 * The path as a service may read it: without query, escapes, dot segments and
 * doubled slashes. A call must not escape its rule by another spelling.
 */
function normalizePath(path: string): string {
  const url = new URL(`http://service.invalid${path}`);
  const plain = decodePath(url.pathname).replace(/\/{2,}/g, "/");
  return new URL(`http://service.invalid${plain}`).pathname;
}

function decodePath(path: string): string {
  try {
    return decodeURIComponent(path).replace(/[?#]/g, encodeURIComponent);
  } catch {
    return path;
  }
}
