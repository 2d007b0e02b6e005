/**
 * What is wrong with a settings file or an operators' folder, and where.
 */

/**
 * - `file`: a file or folder cannot be read.
 * - `syntax`: a file is not valid YAML or JSON.
 * - `unknown-key`: the schema has no such key.
 * - `value`: a value is missing or not allowed by the schema.
 * - `reference`: a value does not fit the rest of the configuration.
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
  /** Counted from 1; absent when no line holds the fault. */
  readonly line?: number;
  /** Path of the key, such as "groups.sizing-llm.weights"; "" for the root. */
  readonly key: string;
  readonly message: string;
  /** The key that was probably meant. */
  readonly suggestion?: string;
}

/** Keys from the root to a value; a number is an index of a list. */
export type Path = readonly (string | number)[];

const PLAIN_KEY = /^[A-Za-z0-9_-]+$/;

/** The path as text; a key with other characters stands in brackets. */
export function formatPath(path: Path): string {
  let text = "";
  for (const key of path) {
    const isPlain = typeof key === "string" && PLAIN_KEY.test(key);
    if (isPlain) text += text === "" ? key : `.${key}`;
    else text += `[${JSON.stringify(key)}]`;
  }
  return text;
}

/** One line for people: file, line, key, message and suggestion. */
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
