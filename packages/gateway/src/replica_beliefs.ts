/**
 * What the end of an attempt says of its replica: whether it is alive, which
 * weights it holds, and whether it has room.
 */
import type {
  Choice,
  ReplicaTable,
  WeightTargets,
} from "@peridotvalve/dispatch";
import type { Milliseconds } from "@peridotvalve/types";
import { type AttemptEnd, SILENT } from "./attempt_watch.ts";
import type { Channels } from "./channels.ts";
import type { AnswerTerms } from "./dialect.ts";

/** A replica that changes its weights or is full is left alone so long. */
const BUSY_AVOIDANCE: Milliseconds = 250;

/** One with other weights than believed can be asked for those at once. */
const MOVED_AVOIDANCE: Milliseconds = 5;

export interface ReplicaBeliefs {
  /** Takes the weight version that an answer names. */
  learnWeights(
    choice: Choice,
    model: string | undefined,
    terms: AnswerTerms,
  ): void;
  noteEnd(choice: Choice, model: string | undefined, end: AttemptEnd): void;
}

export function createReplicaBeliefs({ replicas, weights, channels }: {
  readonly replicas: ReplicaTable;
  readonly weights: WeightTargets;
  readonly channels: Channels;
}): ReplicaBeliefs {
  /** A replica refused because it is not what it was believed to be. */
  function correctWeights(
    { replica, version = 0 }: Choice,
    model: string | undefined,
    terms: AnswerTerms,
  ): void {
    const { id } = replica.entry;
    const isOther = terms.replica !== undefined && terms.replica !== id;
    if (model === undefined || isOther) return replicas.recordFailure(id);
    const target = weights.target(model);
    if (terms.weights !== undefined) {
      replicas.correctWeights(id, model, terms.weights);
    } else if (version < target) {
      replicas.correctWeights(id, model, target);
    } else {
      const listed = replica.entry.weights.get(model) ?? 0;
      replicas.correctWeights(id, model, Math.min(listed, target - 1));
    }
    replicas.avoid(id, MOVED_AVOIDANCE);
  }

  return {
    learnWeights({ replica }, model, terms) {
      if (model === undefined || terms.weights === undefined) return;
      replicas.recordWeights(replica.entry.id, model, terms.weights);
    },
    noteEnd(choice, model, end) {
      const { id, address } = choice.replica.entry;
      switch (end.kind) {
        case "done":
          return replicas.recordSuccess(id);
        case "unsent":
        case "lost":
        case "broken":
          if (end.reason === SILENT) channels.renew(address);
          return replicas.recordFailure(id);
        case "not run":
          if (end.misdirected) return correctWeights(choice, model, end.terms);
          return replicas.avoid(id, BUSY_AVOIDANCE);
      }
    },
  };
}
