/**
 * Generates docs/configuration.md from the schemas of packages/settings.
 */
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { createReferencePage } from "@peridotvalve/settings";

const PAGE = "docs/configuration.md";

writeFileSync(PAGE, createReferencePage());
execFileSync("npx", ["deno", "fmt", PAGE], { stdio: "inherit" });
