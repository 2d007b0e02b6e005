/**
 * Compares two configurations.
 */
import type { Configuration } from "@peridotvalve/types";
import { formatPath, type Path } from "./problem.ts";

export interface Difference {
  readonly kind: "added" | "removed" | "changed";
  readonly path: string;
  readonly left?: unknown;
  readonly right?: unknown;
}

/**
 * Lists the paths that differ, sorted by key. Maps are compared key by key;
 * lists and scalars are compared as a whole, because merging replaces them as a
 * whole.
 */
export function diffConfigurations(
  left: Configuration,
  right: Configuration,
): readonly Difference[] {
  return [...diffValues(left, { right, path: [] })];
}

interface Comparison {
  readonly right: unknown;
  readonly path: Path;
}

function* diffValues(
  left: unknown,
  { right, path }: Comparison,
): Generator<Difference> {
  if (isMap(left) && isMap(right)) {
    yield* diffMaps(left, { right, path });
    return;
  }
  if (isEqual(left, right)) return;
  yield { kind: "changed", path: formatPath(path), left, right };
}

function* diffMaps(
  left: Mapping,
  { right, path }: { readonly right: Mapping; readonly path: Path },
): Generator<Difference> {
  const keys = new Set([...Object.keys(left), ...Object.keys(right)]);
  for (const key of [...keys].sort()) {
    const inner = [...path, key];
    const text = formatPath(inner);
    if (!Object.hasOwn(left, key)) {
      yield { kind: "added", path: text, right: right[key] };
    } else if (!Object.hasOwn(right, key)) {
      yield { kind: "removed", path: text, left: left[key] };
    } else {
      yield* diffValues(left[key], { right: right[key], path: inner });
    }
  }
}

type Mapping = Readonly<Record<string, unknown>>;

function isMap(value: unknown): value is Mapping {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isEqual(left: unknown, right: unknown): boolean {
  if (Array.isArray(left) && Array.isArray(right)) {
    return left.length === right.length &&
      left.every((item, index) => isEqual(item, right[index]));
  }
  if (!isMap(left) || !isMap(right)) return Object.is(left, right);
  const differences = diffMaps(left, { right, path: [] });
  return differences.next().done === true;
}
