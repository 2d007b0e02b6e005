/**
 * Checks that there are no import cycles between the modules of a package.
 */
import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";

const FOLDERS = ["packages", "platform"];
const RELATIVE_IMPORT = /from "(\.[^"]+)"/g;

type Imports = ReadonlyMap<string, readonly string[]>;

function readImports(): Imports {
  const files = FOLDERS.flatMap((folder) =>
    (readdirSync(folder, { recursive: true }) as string[])
      .filter((file) => file.endsWith(".ts") && file.includes("src/"))
      .filter((file) => !file.includes("node_modules"))
      .map((file) => join(folder, file))
  );
  return new Map(files.map((file) => {
    const matches = readFileSync(file, "utf8").matchAll(RELATIVE_IMPORT);
    const targets = [...matches].map(([, path = ""]) =>
      join(dirname(file), path)
    );
    return [file, targets];
  }));
}

/** Finds a path of imports from a module back to itself. */
function findCycle(imports: Imports): readonly string[] | undefined {
  const done = new Set<string>();

  function visit(
    module: string,
    path: readonly string[],
  ): readonly string[] | undefined {
    const start = path.indexOf(module);
    if (start >= 0) return [...path.slice(start), module];
    if (done.has(module)) return undefined;
    for (const target of imports.get(module) ?? []) {
      const cycle = visit(target, [...path, module]);
      if (cycle !== undefined) return cycle;
    }
    done.add(module);
    return undefined;
  }

  for (const module of imports.keys()) {
    const cycle = visit(module, []);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

// Modules in an import cycle can't be understood or changed one at a time.
test("there are no import cycles", () => {
  const imports = readImports();
  expect(imports.size).toBeGreaterThan(100);
  expect(findCycle(imports)).toEqual(undefined);
  const cyclic = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
  expect(findCycle(cyclic)).toEqual(["b", "c", "b"]);
});
