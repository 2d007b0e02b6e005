/**
 * Interface of a model engine.
 */
import type {
  BlockName,
  Generation,
  GenerationEvent,
  LoadReport,
  Milliseconds,
  Settlement,
  StoredBlock,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";

/** How far the request of a failed attempt got. */
export type Delivery = "not sent" | "sent" | "refused";

/** A failed attempt. Only "not sent" and "refused" mean that nothing ran. */
export interface AttemptFailure {
  readonly sent: Delivery;
  readonly reason:
    | "unreachable"
    | "weights mismatch"
    | "leaving"
    | "busy"
    | "timeout"
    | "cut"
    | "protocol"
    | "cancelled"
    | "withdrawn";
  readonly message: string;
  /** Weight version of the engine, if its response states it. */
  readonly weights?: string;
}

/** Deadlines of a stream. Exceeding one ends the attempt with "timeout". */
export interface StreamDeadlines {
  readonly firstToken: Milliseconds;
  readonly betweenTokens: Milliseconds;
  readonly signal: AbortSignal;
  /** Called before the first byte is written; false withdraws the attempt. */
  readonly shouldSend?: () => boolean;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly block: string;
}

export interface CacheEvents {
  readonly incarnation: string;
  /** Lowest sequence number still held; a jump means that events were lost. */
  readonly first: number;
  readonly events: readonly CacheEvent[];
}

export interface WeightsOrder {
  readonly version: string;
  readonly fence: number;
}

export abstract class Engine {
  abstract readonly address: string;

  /**
   * Runs an attempt. Yields only events that carry this attempt's id. Returns
   * a failure, or undefined after an `end` event.
   */
  abstract generate(
    generation: Generation,
    deadlines: StreamDeadlines,
  ): AsyncGenerator<GenerationEvent, AttemptFailure | undefined, void>;

  abstract cancel(
    attempt: { readonly attempt: string; readonly customer: string },
    timeout: Milliseconds,
  ): Promise<Settlement<void>>;

  abstract loadWeights(
    order: WeightsOrder,
    timeout: Milliseconds,
  ): Promise<Settlement<void>>;

  abstract exportBlock(
    name: BlockName,
    options: { readonly store: string; readonly timeout: Milliseconds },
  ): Promise<Settlement<StoredBlock>>;

  abstract importBlock(
    block: StoredBlock,
    options: { readonly store: string; readonly timeout: Milliseconds },
  ): Promise<Settlement<void>>;

  abstract readLoad(timeout: Milliseconds): Promise<Result<LoadReport, string>>;

  abstract readCacheEvents(
    after: number,
    timeout: Milliseconds,
  ): Promise<Result<CacheEvents, string>>;
}
