/**
 * Schema violations as problems with a place and, for a misspelt key, the key
 * that was probably meant.
 */
import { closest, distance } from "fastest-levenshtein";
import type { z } from "zod";
import { formatPath, type Path, type Problem } from "./problem.ts";
import { findPlace, type SourceTree } from "./source_tree.ts";

type Issue = z.core.$ZodIssue;

// Two edits cover a transposed pair; a third of the length covers long keys.
const SMALLEST_DISTANCE = 2;
const LENGTH_SHARE = 1 / 3;

/** The problems of a failed check, in the order of the schema. */
export function toProblems(
  schema: z.ZodType,
  { error, tree }: { readonly error: z.ZodError; readonly tree: SourceTree },
): readonly Problem[] {
  return error.issues.flatMap((issue) => describe(schema, { issue, tree }));
}

function describe(
  schema: z.ZodType,
  { issue, tree }: { readonly issue: Issue; readonly tree: SourceTree },
): readonly Problem[] {
  const path = issue.path as Path;
  if (issue.code === "unrecognized_keys") {
    const known = keysAt(schema, path);
    return issue.keys.map((key) => unknownKey(key, { path, tree, known }));
  }
  const missing = issue.code === "invalid_type" && issue.input === undefined;
  const message = issue.code === "invalid_key"
    ? issue.issues.map((inner) => inner.message).join("; ")
    : missing
    ? "is required"
    : plain(issue.message);
  const key = formatPath(path);
  return [{ kind: "value", ...findPlace(tree, path), key, message }];
}

function plain(message: string): string {
  return message.replace(/^Invalid [a-z]+: /, "");
}

interface UnknownKey {
  readonly path: Path;
  readonly tree: SourceTree;
  readonly known: readonly string[];
}

function unknownKey(key: string, { path, tree, known }: UnknownKey): Problem {
  const full = [...path, key];
  const suggestion = suggestKey(key, known);
  return {
    kind: "unknown-key",
    ...findPlace(tree, full),
    key: formatPath(full),
    message: "unknown key",
    ...(suggestion === undefined ? {} : { suggestion }),
  };
}

/** The known word next to a misspelt one, if any is near. */
export function suggestKey(
  word: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0) return undefined;
  const nearest = closest(word, known);
  const limit = Math.max(SMALLEST_DISTANCE, word.length * LENGTH_SHARE);
  const edits = distance(word, nearest);
  // A word in which every letter differs is another word.
  return edits <= limit && edits < word.length ? nearest : undefined;
}

function keysAt(schema: z.ZodType, path: Path): readonly string[] {
  let current = unwrap(schema);
  for (const key of path) {
    const next = childOf(current, key);
    if (next === undefined) return [];
    current = unwrap(next);
  }
  const definition = current.def as Definition;
  return definition.type === "object"
    ? Object.keys(definition.shape ?? {})
    : [];
}

/** The parts of a zod definition that this package reads. */
export interface Definition {
  readonly type: string;
  readonly innerType?: z.ZodType;
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly defaultValue?: unknown;
  readonly entries?: Readonly<Record<string, string>>;
}

/** The schema without the wrappers for absence and defaults. */
export function unwrap(schema: z.ZodType): z.ZodType {
  let current = schema;
  for (;;) {
    const inner = (current.def as Definition).innerType;
    if (inner === undefined) return current;
    current = inner;
  }
}

function childOf(
  schema: z.ZodType,
  key: string | number,
): z.ZodType | undefined {
  const { shape, valueType, element } = schema.def as Definition;
  return shape?.[String(key)] ?? valueType ?? element;
}
