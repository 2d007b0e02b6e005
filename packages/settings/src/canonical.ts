/**
 * The canonical text of a configuration, which is stored in the platform.
 */
import type { Configuration } from "@peridotvalve/types";
import { Err, type Result } from "ts-results-es";
import { checkConfiguration } from "./check.ts";
import type { Problem } from "./problem.ts";
import { createEmptyTree } from "./source_tree.ts";

// Used in place of a file name in problems of a stored configuration.
const STORED_FILE_NAME = "stored configuration";

/**
 * Encodes a configuration as JSON without white space and with keys sorted by
 * UTF-16 code units. Equal configurations have equal texts.
 */
export function toCanonicalText(configuration: Configuration): string {
  return JSON.stringify(sortKeys(configuration));
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([key, child]) => [key, sortKeys(child)]);
  return Object.fromEntries(entries);
}

/**
 * Parses and validates a stored configuration. The text is parsed as JSON and
 * not as YAML, because daemons do this on the event loop that relays streams.
 */
export function readConfiguration(
  text: string,
): Result<Configuration, readonly Problem[]> {
  const tree = createEmptyTree(STORED_FILE_NAME);
  try {
    return checkConfiguration(JSON.parse(text), tree);
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
    const { message } = error;
    return Err([{ kind: "syntax", file: STORED_FILE_NAME, key: "", message }]);
  }
}
