/**
 * Finds and builds the product's binary, depending on whether it is up to date.
 */
import { execFileSync } from "node:child_process";
import { existsSync, readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));
const BINARY = join(ROOT, "dist/peridotvalve");
const BUILD_SCRIPT = "scripts/build.ts";

/** Packages that are not part of the binary. */
const EXCLUDED_PACKAGES: ReadonlySet<string> = new Set([
  "testbed",
  "standins",
  "replay",
  "history",
]);

/** Path of the binary; undefined when it is missing or older than a source. */
export function findBinary(): string | undefined {
  if (!existsSync(BINARY)) return undefined;
  const builtAt = statSync(BINARY).mtimeMs;
  const isCurrent = listSources().every((file) =>
    statSync(join(ROOT, file)).mtimeMs <= builtAt
  );
  return isCurrent ? BINARY : undefined;
}

/**
 * Builds the binary unless it is up to date, and returns its path. Throws when
 * the build fails.
 */
export function buildBinary(): string {
  const found = findBinary();
  if (found !== undefined) return found;
  execFileSync(process.execPath, ["--import", "tsx", BUILD_SCRIPT], {
    cwd: ROOT,
    stdio: ["ignore", "ignore", "pipe"],
  });
  return BINARY;
}

function listSources(): readonly string[] {
  const packages = readdirSync(join(ROOT, "packages"))
    .filter((name) => !EXCLUDED_PACKAGES.has(name));
  const files = packages.flatMap((name) => {
    const folder = join("packages", name, "src");
    if (!existsSync(join(ROOT, folder))) return [];
    const entries = readdirSync(join(ROOT, folder), { recursive: true });
    return entries.map((entry) => join(folder, String(entry)));
  });
  const sources = files.filter((file) =>
    file.endsWith(".ts") && !file.endsWith(".test.ts")
  );
  return [...sources, BUILD_SCRIPT, "package-lock.json"];
}
