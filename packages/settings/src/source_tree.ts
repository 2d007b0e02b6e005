/**
 * Parses YAML documents to trees that record the file and line of each value,
 * and merges such trees.
 */
import {
  isAlias,
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  type Node,
  parseDocument,
  type YAMLMap,
} from "yaml";
import { formatPath, type Path, type Problem } from "./problem.ts";

export interface SourceLocation {
  readonly file: string;
  readonly line?: number;
}

export type SourceTree =
  | {
    readonly kind: "map";
    readonly location: SourceLocation;
    readonly entries: ReadonlyMap<string, SourceTree>;
  }
  | {
    readonly kind: "list";
    readonly location: SourceLocation;
    readonly items: readonly SourceTree[];
  }
  | {
    readonly kind: "scalar";
    readonly location: SourceLocation;
    readonly value: unknown;
  }
  /** An explicit null, which removes the key in a merge. */
  | { readonly kind: "removed"; readonly location: SourceLocation };

export interface ParsedSource {
  readonly tree: SourceTree;
  readonly problems: readonly Problem[];
}

// Assigning to "__proto__" would change the prototype of an object.
const FORBIDDEN_KEY = "__proto__";

/** Parses a YAML file. Despite problems, the tree has every readable value. */
export function parseSource(file: string, text: string): ParsedSource {
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
  });
  const problems: Problem[] = document.errors.map((error) => ({
    kind: "syntax",
    file,
    line: lines.linePos(error.pos[0]).line,
    key: "",
    message: error.message,
  }));
  const builder = createTreeBuilder({ file, lines, problems });
  const tree = builder.build(document.contents, []);
  if (document.contents !== null && tree.kind !== "map") {
    builder.report(document.contents, [], "a file must contain a map of keys");
  }
  return { tree: tree.kind === "map" ? tree : createEmptyTree(file), problems };
}

/** Creates a tree without keys, which locates every path in `file`. */
export function createEmptyTree(file: string): SourceTree {
  return { kind: "map", location: { file }, entries: new Map() };
}

interface BuilderOptions {
  readonly file: string;
  readonly lines: LineCounter;
  readonly problems: Problem[];
}

function createTreeBuilder({ file, lines, problems }: BuilderOptions) {
  function locationOf(node: Node | null): SourceLocation {
    const offset = node?.range?.[0];
    if (offset === undefined) return { file };
    return { file, line: lines.linePos(offset).line };
  }

  function report(node: Node | null, path: Path, message: string): void {
    const location = locationOf(node);
    problems.push({
      kind: "syntax",
      ...location,
      key: formatPath(path),
      message,
    });
  }

  function build(node: Node | null, path: Path): SourceTree {
    const location = locationOf(node);
    if (isMap(node)) {
      return { kind: "map", location, entries: buildEntries(node, path) };
    }
    if (isSeq(node)) {
      const items = node.items.map((item, index) =>
        build(item as Node | null, [...path, index])
      );
      return { kind: "list", location, items };
    }
    if (isScalar(node) && node.value !== null) {
      return { kind: "scalar", location, value: node.value };
    }
    // Nested aliases can expand a short text to a huge value.
    if (isAlias(node)) report(node, path, "aliases are not supported");
    else if (path.length > 0 && hasNoText(node)) {
      report(node, path, "has no value; write null to remove the key");
    }
    return { kind: "removed", location };
  }

  function buildEntries(
    map: YAMLMap,
    path: Path,
  ): ReadonlyMap<string, SourceTree> {
    const result = new Map<string, SourceTree>();
    for (const pair of map.items) {
      const name = isScalar(pair.key) ? String(pair.key.value) : undefined;
      if (name === undefined || name === FORBIDDEN_KEY) {
        report(pair.key as Node | null, path, "this key is not allowed");
        continue;
      }
      const child = build(pair.value as Node | null, [...path, name]);
      // A value may start on a line below its key; report the line of the key.
      const location = locationOf(pair.key as Node);
      result.set(name, { ...child, location });
    }
    return result;
  }

  return { build, report };
}

// `key:` without a value is more often a missing indent than a removal.
function hasNoText(node: Node | null): boolean {
  const range = node?.range;
  return range === undefined || range === null || range[0] === range[1];
}

/**
 * Merges a later tree into an earlier one. Maps are merged key by key; anything
 * else is replaced. Nulls stay in the result as "removed", so that a problem
 * with the missing key can be reported at the line that removed it.
 */
export function mergeTrees(base: SourceTree, overlay: SourceTree): SourceTree {
  if (base.kind !== "map" || overlay.kind !== "map") return overlay;
  const entries = new Map(base.entries);
  for (const [key, value] of overlay.entries) {
    const earlier = entries.get(key);
    const merged = earlier === undefined ? value : mergeTrees(earlier, value);
    entries.set(key, merged);
  }
  return { kind: "map", location: overlay.location, entries };
}

/** Converts a tree to a plain value without the removed keys. */
export function toValue(tree: SourceTree): unknown {
  if (tree.kind === "scalar") return tree.value;
  if (tree.kind === "removed") return null;
  if (tree.kind === "list") return tree.items.map(toValue);
  const remaining = [...tree.entries].filter(([, child]) =>
    child.kind !== "removed"
  );
  return Object.fromEntries(
    remaining.map(([key, child]) => [key, toValue(child)]),
  );
}

/** Returns the location of the value at a path, or of its nearest ancestor. */
export function findLocation(tree: SourceTree, path: Path): SourceLocation {
  let current = tree;
  for (const key of path) {
    const next = childOf(current, key);
    if (next === undefined) break;
    current = next;
  }
  return current.location;
}

function childOf(
  tree: SourceTree,
  key: string | number,
): SourceTree | undefined {
  if (tree.kind === "map") return tree.entries.get(String(key));
  if (tree.kind === "list") return tree.items[Number(key)];
  return undefined;
}
