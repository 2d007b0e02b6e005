/**
 * The check of a merged value against the schema and of the references within
 * it.
 */
import type { Configuration } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { configurationSchema } from "./configuration_schema.ts";
import { freeze } from "./freeze.ts";
import { formatPath, type Problem } from "./problem.ts";
import { type Fault, findFaults } from "./references.ts";
import { suggestKey, toProblems } from "./schema_problems.ts";
import { findPlace, type SourceTree } from "./source_tree.ts";

/**
 * The frozen configuration, or every problem that was found. The tree gives
 * the problems their places.
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
  const faults = [...findFaults(content)];
  if (faults.length > 0) {
    return Err(faults.map((fault) => locate(fault, tree)));
  }
  return Ok(freeze(content));
}

function locate(fault: Fault, tree: SourceTree): Problem {
  const { unknown } = fault;
  const suggestion = unknown && suggestKey(unknown.name, unknown.known);
  return {
    kind: "reference",
    ...findPlace(tree, fault.path),
    key: formatPath(fault.path),
    message: fault.message,
    ...(suggestion === undefined ? {} : { suggestion }),
  };
}
