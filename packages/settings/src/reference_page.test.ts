import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { createReferencePage } from "./reference_page.ts";

const PAGE = new URL("../../../docs/configuration.md", import.meta.url);

// The formatter only wraps lines.
function words(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

test("the committed page is current: npm run docs:configuration", () => {
  const committed = readFileSync(PAGE, "utf8");
  expect(words(committed)).toEqual(words(createReferencePage()));
});
