/**
 * Applies the rows of the operator's table: the desired state and the named
 * weight versions.
 */
import type { WeightTargets } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { FeedRow } from "@peridotvalve/tables";
import type { TableCodec } from "./options.ts";
import type { StateHolder } from "./state_holder.ts";

export interface OperatorRowsOptions {
  readonly logger: EventLogger;
  readonly codec: Pick<TableCodec, "isState" | "readState" | "readWeights">;
  readonly holder: Pick<StateHolder, "offer">;
  readonly weights: WeightTargets;
  /** Called when a desired state has been read. */
  readonly onState: () => void;
}

/** `isOld` is true for the rows of the first snapshot. */
export type ApplyOperatorRow = (row: FeedRow, isOld: boolean) => void;

export function createOperatorRows(
  { logger, codec, holder, weights, onState }: OperatorRowsOptions,
): ApplyOperatorRow {
  function applyState(value: unknown): void {
    const state = codec.readState(value);
    if (state.isErr()) {
      logger.log("state_rejected", { reason: state.error });
      return;
    }
    holder.offer(state.value, "store");
    onState();
  }

  return ({ key, value }, isOld) => {
    if (codec.isState(key)) return applyState(value);
    const named = codec.readWeights(key, value);
    if (named === undefined) return;
    const { model, version } = named;
    if (version <= weights.target(model)) return;
    weights.name(model, version, { isOld });
    logger.log("weights_named", { model, version });
  };
}
