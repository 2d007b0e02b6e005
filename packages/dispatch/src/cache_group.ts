/**
 * The group of customers that share cached prompt parts: all that are not
 * isolated. Its name follows from the isolated customers alone, so that all
 * daemons agree on it, and it changes as soon as one more customer is isolated.
 * Then no request finds the parts that this customer left in the caches while it
 * still belonged to the group.
 *
 * A group of the same name never has parts of a customer that is isolated while
 * the name holds, so a former group may be used again.
 */
import { createHash } from "node:crypto";

/** Characters of a name; two groups of a fleet do not get the same one. */
const NAME_LENGTH = 16;

/** Returns the name of the group; empty while no customer is isolated. */
export function nameCacheGroup(isolated: readonly string[]): string {
  if (isolated.length === 0) return "";
  const names = JSON.stringify([...new Set(isolated)].sort());
  return createHash("sha256").update(names).digest("base64url")
    .slice(0, NAME_LENGTH);
}
