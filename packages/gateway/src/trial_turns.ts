/**
 * Turns of daemons to try what is refused because it crashed replicas. In each
 * group of neighbors, the daemons that rank first for a turn have it. Groups know
 * nothing of each other's ranks, so one daemon of each may try at once.
 */
import type { PeerMesh } from "./peer_mesh.ts";

/**
 * Returns whether this daemon has a turn, for the share of daemons that may. A
 * daemon that knows no neighbors has each.
 */
export function createTrialTurns(
  findMesh: () => Pick<PeerMesh, "rank" | "liveCount"> | undefined,
): (turn: string, share: number) => boolean {
  return (turn, share) => {
    const mesh = findMesh();
    if (mesh === undefined) return true;
    return mesh.rank(`trial ${turn}`) < Math.max(1, mesh.liveCount() * share);
  };
}
