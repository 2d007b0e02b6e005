/**
 * The entries of a history. Every process of a run is on one machine, so all
 * times are the wall-clock time of that machine in milliseconds.
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
  /** The version on which the operator based the change. */
  readonly expect: number;
  /** Value in the content that no other change has. */
  readonly marker: number;
}

export type Operation =
  | ChatOperation
  | LookUpOperation
  | OrderOperation
  | ChangeOperation;

/** A complete response; a refusal has `ran` and `code`. */
export interface Answered {
  readonly type: "answered";
  readonly status: number;
  /** The daemon's id of the request. */
  readonly request: string;
  /** Text of a completion, or the body of another response. */
  readonly text: string;
  /** False for a stream that ended without "[DONE]". */
  readonly done: boolean;
  readonly ran: string | null;
  readonly code: string | null;
}

/** The connection failed; `text` is what had arrived of a completion. */
export interface Broken {
  readonly type: "broken";
  readonly stage: "not connected" | "before the answer" | "in the answer";
  readonly request: string | null;
  readonly text: string;
  readonly reason: string;
}

/** The caller's own limit ended the call. */
export interface Abandoned {
  readonly type: "abandoned";
  readonly text: string;
}

export interface Changed {
  readonly type: "changed";
  readonly result: "accepted" | "rejected" | "unknown";
  readonly version: number | null;
}

export type Outcome = Answered | Broken | Abandoned | Changed;

export interface Invoked {
  readonly kind: "invoked";
  readonly id: number;
  readonly at: Timestamp;
  readonly operation: Operation;
}

export interface Completed {
  readonly kind: "completed";
  readonly id: number;
  readonly at: Timestamp;
  readonly outcome: Outcome;
}

/** What a daemon told of its configuration. */
export interface Observed {
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

export interface Disturbed {
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

/** What the answers depend on. */
export interface Setup {
  readonly kind: "setup";
  readonly tokensPerBlock: number;
  /** Weight versions that were in force during the run. */
  readonly weights: readonly string[];
}

export type Entry =
  | Setup
  | Invoked
  | Completed
  | Observed
  | Disturbed
  | ServiceRecord
  | EngineRecord
  | ConfigurationRecord;
