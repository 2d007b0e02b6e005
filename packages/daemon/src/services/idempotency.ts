/**
 * Parses the paths of plain services and decides which calls are idempotent,
 * that is, safe to retry.
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

export interface ServiceTarget {
  readonly service: string;
  /** Path and query after the service's name, with a leading slash. */
  readonly path: string;
}

const SERVICE_URL = /^\/services\/([^/?]+)([/?].*)?$/;

/**
 * Splits `/services/{service}/{path}`. The path is not decoded or normalized.
 * Returns undefined when the URL names no service.
 */
export function parseTarget(url: string): ServiceTarget | undefined {
  const match = SERVICE_URL.exec(url);
  const service = match?.[1];
  if (service === undefined) return undefined;
  const rest = match?.[2] ?? "/";
  return { service, path: rest.startsWith("/") ? rest : `/${rest}` };
}

/**
 * Returns true when the call is safe to retry under every normalization that
 * the service may apply to the path. Otherwise a call could avoid the rule for
 * its path by an equivalent spelling. Paths without a rule, and services that
 * are not configured, follow the idempotent methods of HTTP.
 */
export function isIdempotent(
  service: Service | undefined,
  call: { readonly method: string; readonly path: string },
): boolean {
  const { method } = call;
  for (const path of listNormalizedPaths(call.path)) {
    for (const ignoresCase of [false, true]) {
      const normalized = { method, path, ignoresCase };
      if (!isNormalizedCallIdempotent(service, normalized)) return false;
    }
  }
  return true;
}

/** Returns true when dot segments resolve to a path outside the service. */
export function escapesService(path: string): boolean {
  return listDecoded(path).some((decoded) => {
    let depth = 0;
    for (const segment of splitPath(decoded)) {
      if (segment === "..") depth -= 1;
      else if (segment !== ".") depth += 1;
      if (depth < 0) return true;
    }
    return false;
  });
}

interface NormalizedCall {
  readonly method: string;
  readonly path: string;
  /** Compares paths without regard to case, as some services do. */
  readonly ignoresCase: boolean;
}

function isNormalizedCallIdempotent(
  service: Service | undefined,
  { method, path, ignoresCase }: NormalizedCall,
): boolean {
  const fold = (text: string) => ignoresCase ? text.toLowerCase() : text;
  const rule = service?.paths.find((candidate) =>
    hasPrefix(fold(path), fold(candidate.prefix)) &&
    (candidate.methods.length === 0 || candidate.methods.includes(method))
  );
  return rule?.idempotent ?? IDEMPOTENT_METHODS.has(method);
}

/** Compares whole path segments: "/orders" is not a prefix of "/ordersx". */
function hasPrefix(path: string, prefix: string): boolean {
  const start = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return path === start || path.startsWith(`${start}/`);
}

// A proxy and the service behind it may each decode the path once.
const MAXIMUM_DECODINGS = 3;

/** The path without its query, percent-decoded zero or more times. */
function listDecoded(path: string): readonly string[] {
  const decoded = [path.replace(/[?#].*$/s, "")];
  for (let count = 0; count < MAXIMUM_DECODINGS; count += 1) {
    const next = decodePath(decoded.at(-1) ?? "");
    if (next === decoded.at(-1)) break;
    decoded.push(next);
  }
  return decoded;
}

/**
 * The decoded paths without repeated slashes, dot segments and path parameters
 * (";name=value"), which services may resolve or ignore.
 */
function listNormalizedPaths(path: string): readonly string[] {
  return listDecoded(path).map((decoded) => {
    const segments: string[] = [];
    for (const segment of splitPath(decoded)) {
      if (segment === "..") segments.pop();
      else if (segment !== ".") segments.push(segment);
    }
    return `/${segments.join("/")}`;
  });
}

function splitPath(path: string): readonly string[] {
  return path.replace(/[?#].*$/s, "").split(/[/\\]/)
    .map((segment) => segment.replace(/;.*$/s, "").trim())
    .filter((segment) => segment !== "");
}

function decodePath(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}
