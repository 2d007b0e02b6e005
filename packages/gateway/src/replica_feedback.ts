/**
 * Updates the recorded state of a replica from the outcome of an attempt:
 * whether it is alive, which weights it has, and whether it has free capacity.
 */
import type { ColdReplicas } from "@peridotvalve/backpressure";
import type {
  Choice,
  ReplicaTable,
  WeightTargets,
} from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";
import { type AttemptOutcome, SILENT } from "./attempt_watch.ts";
import { type ConnectionPools, START_PUT_OFF } from "./connection_pools.ts";
import type { ResponseMetadata } from "./header_codec.ts";

/** Avoidance of a replica that loads weights or is full. */
export const BUSY_AVOIDANCE: Milliseconds = 250;

/**
 * Avoidance of a replica with another weight version than recorded; it can be
 * used with that version at once.
 */
const CORRECTED_AVOIDANCE: Milliseconds = 5;

export interface ReplicaFeedback {
  /** Records the weight version named in a response. */
  recordWeights(
    choice: Choice,
    model: string | undefined,
    metadata: ResponseMetadata,
  ): void;
  recordOutcome(
    choice: Choice,
    model: string | undefined,
    outcome: AttemptOutcome,
    wasBrokenOff?: boolean,
  ): void;
}

export function createReplicaFeedback(
  { replicas, weights, pools, coldReplicas }: {
    readonly replicas: ReplicaTable;
    readonly weights: WeightTargets;
    readonly pools: ConnectionPools;
    readonly coldReplicas?: Pick<ColdReplicas, "suspect">;
  },
): ReplicaFeedback {
  /**
   * Corrects the state of a replica that refused a request meant for another
   * incarnation or weight version.
   */
  function correctWeights(
    { replica, version = 0 }: Choice,
    model: string | undefined,
    metadata: ResponseMetadata,
  ): void {
    const { id } = replica.entry;
    const isOther = metadata.replica !== undefined && metadata.replica !== id;
    if (model === undefined || isOther) return replicas.recordFailure(id);
    const target = weights.target(model);
    if (metadata.weights !== undefined) {
      replicas.correctWeights(id, model, metadata.weights);
    } else if (version < target) {
      replicas.correctWeights(id, model, target);
    } else {
      const listed = replica.entry.weights.get(model) ?? 0;
      replicas.correctWeights(id, model, Math.min(listed, target - 1));
    }
    replicas.avoid(id, CORRECTED_AVOIDANCE);
  }

  return {
    recordWeights({ replica }, model, metadata) {
      if (model === undefined || metadata.weights === undefined) return;
      replicas.recordWeights(replica.entry.id, model, metadata.weights);
    },
    recordOutcome(choice, model, end, wasBrokenOff = false) {
      const { id, address } = choice.replica.entry;
      const wasRefused = end.kind === "unsent" && end.reason !== START_PUT_OFF;
      if (wasRefused || wasBrokenOff) {
        coldReplicas?.suspect(choice.replica.entry);
      }
      switch (end.kind) {
        case "done":
          return replicas.recordSuccess(id);
        case "unsent":
          // The delay was in this process.
          if (end.reason === START_PUT_OFF) return;
          return replicas.recordFailure(id);
        case "lost":
        case "broken":
          if (end.reason === SILENT) pools.replace(address);
          return replicas.recordFailure(id);
        case "not run":
          if (end.misdirected) return correctWeights(choice, model, end.answer);
          return replicas.avoid(id, BUSY_AVOIDANCE);
      }
    },
  };
}
