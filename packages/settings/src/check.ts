/**
 * Validates a merged configuration against the schema and checks the references
 * within it.
 */
import type { Configuration } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { configurationSchema } from "./configuration_schema.ts";
import { deepFreeze } from "./deep_freeze.ts";
import { formatPath, type Problem } from "./problem.ts";
import { findReferenceProblems, type ReferenceProblem } from "./references.ts";
import { suggestKey, toProblems } from "./schema_problems.ts";
import { findLocation, type SourceTree } from "./source_tree.ts";

/**
 * Returns the frozen configuration or all problems found. The tree supplies the
 * file and line of each problem.
 */
export function checkConfiguration(
  value: unknown,
  tree: SourceTree,
): Result<Configuration, readonly Problem[]> {
  const parsed = configurationSchema.safeParse(value, { reportInput: true });
  if (!parsed.success) {
    const { error } = parsed;
    return Err(toProblems(configurationSchema, { error, tree }));
  }
  const content: Configuration = parsed.data;
  const problems = [...findReferenceProblems(content)];
  if (problems.length > 0) {
    return Err(problems.map((problem) => locate(problem, tree)));
  }
  return Ok(deepFreeze(content));
}

function locate(problem: ReferenceProblem, tree: SourceTree): Problem {
  const { unknown } = problem;
  const suggestion = unknown && suggestKey(unknown.name, unknown.known);
  return {
    kind: "reference",
    ...findLocation(tree, problem.path),
    key: formatPath(problem.path),
    message: problem.message,
    ...(suggestion === undefined ? {} : { suggestion }),
  };
}
