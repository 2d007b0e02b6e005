/**
 * The entries of a recorded history. All processes of a run are on one machine,
 * so all times are wall-clock times of that machine in milliseconds.
 */
import type { Timestamp } from "@peridotvalve/types";

export interface ChatOperation {
  readonly type: "chat";
  readonly daemon: string;
  readonly customer: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly streamed: boolean;
  readonly conversation: string;
}

export interface LookUpOperation {
  readonly type: "look-up";
  readonly daemon: string;
  readonly customer: string;
  readonly item: string;
}

export interface OrderOperation {
  readonly type: "order";
  readonly daemon: string;
  readonly customer: string;
  readonly key: string;
  readonly body: string;
}

export interface ChangeOperation {
  readonly type: "change";
  readonly daemon: string;
  readonly change: string;
  /** Version that the operator read before the change. */
  readonly expect: number;
  /** Value in the content that is unique to this change. */
  readonly marker: number;
}

export type Operation =
  | ChatOperation
  | LookUpOperation
  | OrderOperation
  | ChangeOperation;

/** A response that was received; a refusal has `ran` and `code`. */
export interface CallResponse {
  readonly type: "answered";
  readonly status: number;
  /** Request id that the daemon assigned. */
  readonly request: string;
  /** Text of a completion, or the body of another response. */
  readonly text: string;
  /** False for a stream that ended without "[DONE]". */
  readonly done: boolean;
  readonly ran: string | null;
  readonly code: string | null;
}

/** The connection failed; `text` is the part of a completion received by then. */
export interface ConnectionFailure {
  readonly type: "broken";
  readonly stage: "not connected" | "before the answer" | "in the answer";
  readonly request: string | null;
  readonly text: string;
  readonly reason: string;
}

/** The caller's timeout ended the call. */
export interface CallTimeout {
  readonly type: "abandoned";
  readonly text: string;
}

export interface ChangeResult {
  readonly type: "changed";
  readonly result: "accepted" | "rejected" | "unknown";
  readonly version: number | null;
}

export type Outcome =
  | CallResponse
  | ConnectionFailure
  | CallTimeout
  | ChangeResult;

export interface Invocation {
  readonly kind: "invoked";
  readonly id: number;
  readonly at: Timestamp;
  readonly operation: Operation;
}

export interface Completion {
  readonly kind: "completed";
  readonly id: number;
  readonly at: Timestamp;
  readonly outcome: Outcome;
}

/** The configuration that a daemon reported. */
export interface Observation {
  readonly kind: "observed";
  readonly daemon: string;
  readonly sent: Timestamp;
  readonly received: Timestamp;
  readonly incarnation: string;
  readonly version: number;
  readonly change: string;
  readonly marker: number;
}

export type FaultName =
  | "daemon killed"
  | "daemon paused"
  | "daemon stopped"
  | "engine killed"
  | "engine fault"
  | "engine leaving"
  | "service killed"
  | "service fault"
  | "store VM killed"
  | "store VM fault"
  | "platform fault"
  | "platform cut";

export interface FaultEvent {
  readonly kind: "fault";
  readonly phase: "begin" | "end";
  readonly id: number;
  readonly at: Timestamp;
  readonly fault: FaultName;
  readonly target: string;
  readonly detail: string;
}

export interface ServiceCall {
  readonly number: number;
  readonly path: string;
  readonly customer: string | null;
  readonly idempotencyKey: string | null;
  readonly request: string | null;
  readonly body: string;
}

export interface ServiceRecord {
  readonly kind: "service record";
  readonly process: string;
  readonly calls: readonly ServiceCall[];
}

export interface EngineRecord {
  readonly kind: "engine record";
  readonly process: string;
  readonly attempts: readonly {
    readonly attempt: string;
    readonly request: string;
    readonly at: Timestamp;
  }[];
}

export interface ConfigurationRecord {
  readonly kind: "configuration record";
  readonly entries: readonly {
    readonly version: number;
    readonly change: string;
  }[];
}

/** Parameters of the run on which expected answers depend. */
export interface Setup {
  readonly kind: "setup";
  readonly tokensPerBlock: number;
  /** Weight versions in force during the run. */
  readonly weights: readonly string[];
}

export type Entry =
  | Setup
  | Invocation
  | Completion
  | Observation
  | FaultEvent
  | ServiceRecord
  | EngineRecord
  | ConfigurationRecord;
