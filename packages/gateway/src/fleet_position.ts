/**
 * Position of this daemon among all that the store has listed, by name. It does
 * not depend on which of them can be reached, so that daemons on both sides of a
 * cut agree on it.
 */
import type { FleetPosition } from "@peridotvalve/backpressure";
import type { PeerAddress, Registration } from "./registration.ts";

export interface FleetPositionOptions {
  readonly registration: Pick<Registration, "peers">;
  readonly name: string;
  readonly zone: string;
  /** Returns true when the list of daemons has been read. */
  readonly isListed: () => boolean;
}

/** The function returns undefined while the daemons are not known. */
export function createFleetPosition(
  { registration, name, zone, isListed }: FleetPositionOptions,
): () => FleetPosition | undefined {
  let measured: readonly PeerAddress[] | undefined;
  let known: FleetPosition | undefined;

  function measure(listed: readonly PeerAddress[]): FleetPosition {
    const others = listed.filter((peer) => peer.name !== name);
    const zoneMembers = new Map([[zone, 1]]);
    for (const peer of others) {
      zoneMembers.set(peer.zone, (zoneMembers.get(peer.zone) ?? 0) + 1);
    }
    const before = others.filter((peer) => peer.name < name);
    return {
      zone,
      members: others.length + 1,
      index: before.length,
      zoneIndex: before.filter((peer) => peer.zone === zone).length,
      zoneMembers,
    };
  }

  return () => {
    if (!isListed()) return undefined;
    const listed = registration.peers();
    if (listed !== measured) {
      measured = listed;
      known = measure(listed);
    }
    return known;
  };
}
