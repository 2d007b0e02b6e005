/**
 * Reads the operators' folder.
 */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Configuration } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { checkConfiguration } from "./check.ts";
import type { Problem } from "./problem.ts";
import {
  createEmptyTree,
  mergeTrees,
  parseSource,
  toValue,
} from "./source_tree.ts";

const EXTENSION = ".yaml";

/** The text of one file of an operators' folder. */
export interface SourceFile {
  readonly name: string;
  readonly text: string;
}

/**
 * Reads the `*.yaml` files of a folder, merges them in the order of their names
 * and validates the result. Returns all problems found.
 */
export async function readFolder(
  folder: string,
): Promise<Result<Configuration, readonly Problem[]>> {
  const files = await readFiles(folder);
  if (files.isErr()) return Err([files.error]);
  return mergeFiles(folder, files.value);
}

/** Merges files in the given order and validates the result. */
export function mergeFiles(
  folder: string,
  files: readonly SourceFile[],
): Result<Configuration, readonly Problem[]> {
  const sources = files.map(({ name, text }) => parseSource(name, text));
  const problems = sources.flatMap((source) => source.problems);
  if (problems.length > 0) return Err(problems);
  const merged = sources.map(({ tree }) => tree).reduce(
    mergeTrees,
    createEmptyTree(folder),
  );
  // A missing top-level key is reported for the folder, not for a file.
  const tree = { ...merged, location: { file: folder } };
  return checkConfiguration(toValue(tree), tree);
}

async function readFiles(
  folder: string,
): Promise<Result<readonly SourceFile[], Problem>> {
  let currentPath = folder;
  try {
    const entries = await readdir(folder);
    const names = entries.filter((entry) => entry.endsWith(EXTENSION)).sort();
    if (names.length === 0) {
      return Err(createFileProblem(folder, "contains no *.yaml file"));
    }
    const files: SourceFile[] = [];
    for (const name of names) {
      currentPath = join(folder, name);
      files.push({
        name: currentPath,
        text: await readFile(currentPath, "utf8"),
      });
    }
    return Ok(files);
  } catch (error) {
    return Err(createFileProblem(currentPath, (error as Error).message));
  }
}

/** Creates a problem for a file or folder that cannot be read. */
export function createFileProblem(file: string, message: string): Problem {
  return { kind: "file", file, key: "", message };
}
