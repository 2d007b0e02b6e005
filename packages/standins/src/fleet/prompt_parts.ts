/**
 * The parts of a prompt, as the header of a request names them.
 */
import type { IncomingMessage } from "node:http";

/** Ids of the parts, in their order; none without the header. */
export function listParts(
  { headers }: Pick<IncomingMessage, "headers">,
): readonly string[] {
  return String(headers["prompt-prefix"] ?? "").split(",")
    .map((part) => part.split(":")[0] ?? "")
    .filter((id) => id !== "");
}
