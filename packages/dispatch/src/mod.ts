/**
 * Decisions about requests and replicas, without input or output.
 */
export * from "./cache_view.ts";
export * from "./desired_state.ts";
export * from "./load.ts";
export * from "./placement.ts";
export * from "./replica.ts";
export * from "./transfers.ts";
export * from "./waiting_room.ts";
export * from "./weights.ts";
export * from "./work.ts";
