/**
 * Writes changes of peers to the log.
 */
import type { EventLogger } from "@peridotvalve/events";
import type { PeerChange } from "./peer_table.ts";

export function logPeerChange(
  log: EventLogger["log"],
  change: PeerChange,
): void {
  const { name, incarnation, silence } = change.peer;
  switch (change.kind) {
    case "live":
      return log("peer_live", { peer: name, peerIncarnation: incarnation });
    case "restarted":
      return log("peer_restarted", {
        peer: name,
        peerIncarnation: incarnation,
      });
    case "suspect":
      return log("peer_suspect", { peer: name, silence });
    case "dead":
      return log("peer_dead", { peer: name, silence });
    case "leaving":
      return log("peer_leaving", { peer: name });
    case "forgotten":
      return log("peer_forgotten", { peer: name });
  }
}
