/**
 * A model engine as the rest of the system sees it.
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

/** How far an attempt got when it failed. */
export type Sent = "not sent" | "sent" | "refused";

/** Why an attempt failed. Only "not sent" and "refused" mean: nothing ran. */
export interface AttemptFailure {
  readonly sent: Sent;
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
  /** The engine's weight version, where it told it. */
  readonly weights?: string;
}

/** Deadlines of a stream. Exceeding one ends the attempt with "timeout". */
export interface StreamDeadlines {
  readonly firstToken: Milliseconds;
  readonly betweenTokens: Milliseconds;
  readonly signal: AbortSignal;
  /** Asked before the first byte is written; false withdraws the attempt. */
  readonly mayBegin?: () => boolean;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  readonly block: string;
}

export interface CacheEvents {
  readonly incarnation: string;
  /** Lowest sequence number still held; a jump shows a gap. */
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
   * Runs an attempt. Yields events that carry this attempt's id only; ends
   * with a failure, or with undefined after an `end` event.
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
