/**
 * Formats nested data as lines of the form "path: value".
 */

/** Yields one line per scalar or empty container, in the order of the keys. */
export function* formatRecord(
  value: unknown,
  path = "",
): Generator<string> {
  if (typeof value !== "object" || value === null) {
    yield `${path}: ${value}`;
    return;
  }
  const entries = Object.entries(value);
  if (entries.length === 0) yield `${path}: -`;
  for (const [key, child] of entries) {
    yield* formatRecord(child, path === "" ? key : `${path}.${key}`);
  }
}
