/**
 * Checks that the sources contain every name and text that leaves the process:
 * fields and values of messages, stored data, settings, flags, metrics and log
 * events.
 */
import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

const LIST = "scripts/tests/outward_names.txt";
const FOLDERS = ["packages", "platform", "scripts"];
const TEST_FILE = /\.test\.ts$|\/testing\.ts$|^scripts\/tests\//;
const WORD = /[A-Za-z_$][\w$-]*/g;
const WHOLE_WORD = /^[A-Za-z_$][\w$-]*$/;

function readSources(): readonly string[] {
  return FOLDERS.flatMap((folder) =>
    (readdirSync(folder, { recursive: true }) as string[])
      .filter((file) => file.endsWith(".ts") && !file.includes("node_modules"))
      .map((file) => join(folder, file))
      .filter((file) => !TEST_FILE.test(file))
      .map((file) => readFileSync(file, "utf8"))
  );
}

// Guards against a rename that changes what callers, upstreams, peers, stored
// data or operators' tools read. The list has one name a line, without quotes.
test("the sources contain each outward name", () => {
  const sources = readSources();
  const words = new Set(sources.flatMap((text) => text.match(WORD) ?? []));
  const names = readFileSync(LIST, "utf8").split("\n").filter(Boolean);
  const missing = names.filter((name) =>
    WHOLE_WORD.test(name)
      ? !words.has(name)
      : !sources.some((text) => text.includes(name))
  );
  expect(names.length).toBeGreaterThan(800);
  expect(missing).toEqual([]);
});
