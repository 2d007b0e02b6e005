/**
 * Session step: applies a configuration change with the command line and checks
 * that every daemon has it in force.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  check,
  operatorAddressOf,
  runCommand,
  type Session,
} from "./session.ts";

const DAEMON = "vantaa-1";
const POLICY_FILE = "60-policy.yaml";

export async function changeConfiguration(session: Session): Promise<void> {
  const folder = join(session.deployment.folder, "operators");
  const file = join(folder, POLICY_FILE);
  const before = readFileSync(file, "utf8");
  const patience = 30_000 + session.seed % 10_000;
  const after = before.replace(
    /defaultPatience: \d+/,
    `defaultPatience: ${patience}`,
  );
  check(after !== before, `${POLICY_FILE} has no defaultPatience`);
  writeFileSync(file, after);
  const start = performance.now();
  const output = await runCommand(session, [
    ...["config", "apply", folder, "--json"],
    ...operatorArguments(session, DAEMON),
  ]);
  const elapsed = performance.now() - start;
  const { version } = JSON.parse(output) as { readonly version: number };
  console.log(
    `config apply (defaultPatience ${patience}): version ${version} in ` +
      `force everywhere after ${(elapsed / 1_000).toFixed(1)} s`,
  );
  for (const daemon of session.deployment.settings.keys()) {
    const status = await runCommand(session, [
      ...["status", "--json"],
      ...operatorArguments(session, daemon),
    ]);
    const own = JSON.parse(status) as { readonly version: number };
    console.log(`  ${daemon.padEnd(9)} version ${own.version}`);
    check(
      own.version === version,
      `${daemon} has version ${own.version} after version ${version} was ` +
        "reported in force",
    );
  }
}

function operatorArguments(
  session: Session,
  daemon: string,
): readonly string[] {
  return [
    ...["--operators", operatorAddressOf(session, daemon)],
    ...["--token-file", session.deployment.tokenFile],
  ];
}
