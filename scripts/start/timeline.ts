/**
 * Session step: prints the timeline of one request, merged from the events of
 * all daemons.
 */
import type { ReturningRequest } from "./conversations.ts";
import {
  check,
  operatorAddressOf,
  runCommand,
  type Session,
} from "./session.ts";

export async function showTimeline(
  session: Session,
  { daemon, request }: ReturningRequest,
): Promise<void> {
  const daemons = [...session.deployment.settings.keys()];
  const output = await runCommand(session, [
    "timeline",
    ...daemons.flatMap((name) => ["--from", operatorAddressOf(session, name)]),
    ...["--token-file", session.deployment.tokenFile],
    ...["--request", request],
  ]);
  console.log(`timeline of ${request}, sent through ${daemon}`);
  const lines = output.split("\n").filter((line) => line !== "");
  for (const line of lines) console.log(`  ${line}`);
  check(
    lines.some((line) => line.includes("request_finished")),
    `the timeline of ${request} does not end with request_finished`,
  );
}
