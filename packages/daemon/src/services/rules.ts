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

/**
 * True when every spelling as which a service may read the path is safe to
 * repeat. A call must not escape its rule by another spelling. HTTP's own rule
 * holds for a service that is not configured.
 */
export function isIdempotent(
  service: Service | undefined,
  call: { readonly method: string; readonly path: string },
): boolean {
  const { method } = call;
  for (const path of listSpellings(call.path)) {
    for (const isFolded of [false, true]) {
      const spelling = { method, path, isFolded };
      if (!isSpellingIdempotent(service, spelling)) return false;
    }
  }
  return true;
}

/** True when dot segments lead out of the service's own paths. */
export function leavesService(path: string): boolean {
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

interface Spelling {
  readonly method: string;
  readonly path: string;
  /** Some services ignore the case of paths. */
  readonly isFolded: boolean;
}

function isSpellingIdempotent(
  service: Service | undefined,
  { method, path, isFolded }: Spelling,
): boolean {
  const fold = (text: string) => isFolded ? text.toLowerCase() : text;
  const rule = service?.paths.find((candidate) =>
    hasPrefix(fold(path), fold(candidate.prefix)) &&
    (candidate.methods.length === 0 || candidate.methods.includes(method))
  );
  return rule?.idempotent ?? IDEMPOTENT_METHODS.has(method);
}

/** Compares whole path segments, so that "/orders" is no prefix of "/ordersx". */
function hasPrefix(path: string, prefix: string): boolean {
  const start = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return path === start || path.startsWith(`${start}/`);
}

// A proxy and the service behind it may each decode once.
const DECODINGS = 3;

/** The path without query, with its escapes decoded zero or more times. */
function listDecoded(path: string): readonly string[] {
  const decoded = [path.replace(/[?#].*$/s, "")];
  for (let count = 0; count < DECODINGS; count += 1) {
    const next = decodePath(decoded.at(-1) ?? "");
    if (next === decoded.at(-1)) break;
    decoded.push(next);
  }
  return decoded;
}

/**
 * The paths without doubled slashes, dot segments and path parameters
 * (";name=value"), which services ignore or resolve.
 */
function listSpellings(path: string): readonly string[] {
  return listDecoded(path).map((decoded) => {
    const kept: string[] = [];
    for (const segment of splitPath(decoded)) {
      if (segment === "..") kept.pop();
      else if (segment !== ".") kept.push(segment);
    }
    return `/${kept.join("/")}`;
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
