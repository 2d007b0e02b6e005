/**
 * Problems in a settings file or an operators' folder, with their location.
 */

/**
 * - `file`: a file or folder cannot be read.
 * - `syntax`: a file is not valid YAML or JSON.
 * - `unknown-key`: the schema has no such key.
 * - `value`: a value is missing or violates the schema.
 * - `reference`: a value contradicts another part of the configuration.
 */
export type ProblemKind =
  | "file"
  | "syntax"
  | "unknown-key"
  | "value"
  | "reference";

export interface Problem {
  readonly kind: ProblemKind;
  readonly file: string;
  /** Line number from 1; absent when the problem has no single line. */
  readonly line?: number;
  /** Path of the key, such as "groups.sizing-llm.weights"; "" is the root. */
  readonly key: string;
  readonly message: string;
  /** The key or name that was probably intended. */
  readonly suggestion?: string;
}

/** Keys from the root to a value; numbers are list indexes. */
export type Path = readonly (string | number)[];

const PLAIN_KEY = /^[A-Za-z0-9_-]+$/;

/** Formats a path. Keys with special characters and indexes are bracketed. */
export function formatPath(path: Path): string {
  let text = "";
  for (const key of path) {
    const isPlain = typeof key === "string" && PLAIN_KEY.test(key);
    if (isPlain) text += text === "" ? key : `.${key}`;
    else text += `[${JSON.stringify(key)}]`;
  }
  return text;
}

/** Formats a problem as a line: file, line, key, message and suggestion. */
export function formatProblem(problem: Problem): string {
  const location = problem.line === undefined
    ? problem.file
    : `${problem.file}:${problem.line}`;
  const key = problem.key === "" ? "" : `${problem.key}: `;
  const hint = problem.suggestion === undefined
    ? ""
    : ` (did you mean "${problem.suggestion}"?)`;
  return `${location}: ${key}${problem.message}${hint}`;
}
