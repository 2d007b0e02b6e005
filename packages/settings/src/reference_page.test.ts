import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderReferencePage } from "./reference_page.ts";

const PAGE = new URL("../../../docs/configuration.md", import.meta.url);

// Ignores white space, because the formatter only wraps lines.
function words(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

test("docs/configuration.md is current; if not, run npm run docs:configuration", () => {
  const committed = readFileSync(PAGE, "utf8");
  expect(words(committed)).toEqual(words(renderReferencePage()));
});
