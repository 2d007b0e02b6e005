import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { httpStatusOf, listFailureCodes } from "@peridotvalve/errors";
import { runCommand } from "./run_command.ts";
import * as exitCodes from "./exit_codes.ts";

function page(name: string): string {
  const file = new URL(`../../../docs/${name}`, import.meta.url);
  return readFileSync(file, "utf8").replaceAll(/ +/g, " ");
}

test("docs/callers.md lists every error code with its status", () => {
  const text = page("callers.md");
  const missing = listFailureCodes()
    .filter((code) =>
      !text.includes(`| \`${code}\` | ${httpStatusOf(code)} |`)
    );
  expect(missing).toEqual([]);
});

test("docs/cli.md lists every exit code", () => {
  const text = page("cli.md");
  const missing = Object.values(exitCodes)
    .filter((code) => !text.includes(`| ${code} |`));
  expect(missing).toEqual([]);
});

test("docs/cli.md lists every command", async () => {
  const text = page("cli.md");
  for (const group of [[], ["config"], ["orders"]]) {
    const { output } = await runCommand([...group, "--help"]);
    const names = [...output.join("\n").matchAll(/^- (\w+) - /gm)]
      .map(([, name]) => [...group, name].join(" "));
    const commands = names.filter((name) =>
      !["config", "orders"].includes(name)
    );
    expect(commands.length > 0).toEqual(true);
    for (const command of commands) expect(text).toInclude(`| \`${command}`);
  }
});
