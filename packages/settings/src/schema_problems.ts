/**
 * Converts schema violations to problems with file and line, and suggests the
 * correct key for a misspelt one.
 */
import { closest, distance } from "fastest-levenshtein";
import type { z } from "zod";
import { formatPath, type Path, type Problem } from "./problem.ts";
import { findLocation, type SourceTree } from "./source_tree.ts";

type Issue = z.core.$ZodIssue;

// Two edits allow for two transposed letters; long keys may have more typos, up
// to a third of their length.
const MIN_EDIT_LIMIT = 2;
const EDITS_PER_CHARACTER = 1 / 3;

/** Converts the issues of a failed validation, in the order of the schema. */
export function toProblems(
  schema: z.ZodType,
  { error, tree }: { readonly error: z.ZodError; readonly tree: SourceTree },
): readonly Problem[] {
  return error.issues.flatMap((issue) =>
    problemsOfIssue(schema, { issue, tree })
  );
}

function problemsOfIssue(
  schema: z.ZodType,
  { issue, tree }: { readonly issue: Issue; readonly tree: SourceTree },
): readonly Problem[] {
  const path = issue.path as Path;
  if (issue.code === "unrecognized_keys") {
    const known = knownKeysAt(schema, path);
    return issue.keys.map((key) =>
      createUnknownKeyProblem(key, { path, tree, known })
    );
  }
  const missing = issue.code === "invalid_type" && issue.input === undefined;
  const message = issue.code === "invalid_key"
    ? issue.issues.map((inner) => inner.message).join("; ")
    : missing
    ? "is required"
    : stripIssuePrefix(issue.message);
  const key = formatPath(path);
  return [{ kind: "value", ...findLocation(tree, path), key, message }];
}

function stripIssuePrefix(message: string): string {
  return message.replace(/^Invalid [a-z]+: /, "");
}

interface UnknownKey {
  readonly path: Path;
  readonly tree: SourceTree;
  readonly known: readonly string[];
}

function createUnknownKeyProblem(
  key: string,
  { path, tree, known }: UnknownKey,
): Problem {
  const full = [...path, key];
  const suggestion = suggestKey(key, known);
  return {
    kind: "unknown-key",
    ...findLocation(tree, full),
    key: formatPath(full),
    message: "unknown key",
    ...(suggestion === undefined ? {} : { suggestion }),
  };
}

/** Returns the known word most similar to a misspelt one, if any is close. */
export function suggestKey(
  word: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0) return undefined;
  const nearest = closest(word, known);
  const limit = Math.max(MIN_EDIT_LIMIT, word.length * EDITS_PER_CHARACTER);
  const edits = distance(word, nearest);
  // If every letter differs, the words are unrelated.
  return edits <= limit && edits < word.length ? nearest : undefined;
}

function knownKeysAt(schema: z.ZodType, path: Path): readonly string[] {
  let current = unwrapSchema(schema);
  for (const key of path) {
    const next = childOf(current, key);
    if (next === undefined) return [];
    current = unwrapSchema(next);
  }
  const definition = current.def as ZodDefinition;
  return definition.type === "object"
    ? Object.keys(definition.shape ?? {})
    : [];
}

/** The properties of a zod definition that this package reads. */
export interface ZodDefinition {
  readonly type: string;
  readonly innerType?: z.ZodType;
  readonly shape?: Readonly<Record<string, z.ZodType>>;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly defaultValue?: unknown;
  readonly entries?: Readonly<Record<string, string>>;
}

/** Returns a schema without its wrappers for optional values and defaults. */
export function unwrapSchema(schema: z.ZodType): z.ZodType {
  let current = schema;
  for (;;) {
    const inner = (current.def as ZodDefinition).innerType;
    if (inner === undefined) return current;
    current = inner;
  }
}

function childOf(
  schema: z.ZodType,
  key: string | number,
): z.ZodType | undefined {
  const { shape, valueType, element } = schema.def as ZodDefinition;
  return shape?.[String(key)] ?? valueType ?? element;
}
