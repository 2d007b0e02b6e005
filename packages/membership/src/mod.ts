/**
 * Membership of daemons: heartbeats, incarnations and liveness of peers.
 */
export type { ListedPeer, Seed } from "./candidates.ts";
export * from "./codec.ts";
export * from "./datagram.ts";
export { compareIncarnations } from "./incarnation.ts";
export * from "./log_changes.ts";
export * from "./membership.ts";
export * from "./memory_transport.ts";
export * from "./options.ts";
export { type Pace, SEND_BUDGET } from "./pacer.ts";
export type { Peer, PeerChange, PeerState } from "./peer_table.ts";
export * from "./reading_duty.ts";
export * from "./rendezvous.ts";
export { type Packet, Transport } from "./transport.ts";
export * from "./udp_transport.ts";
