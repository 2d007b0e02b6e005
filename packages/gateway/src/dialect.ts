/**
 * What the gateway needs to know of a protocol's headers. An adapter decodes
 * them into these types and composes them from these types.
 */
import type { ModelTerms, PartPlan } from "@peridotvalve/dispatch";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";
import type { IncomingHttpHeaders } from "node:http";

/** What a caller's headers say. */
export interface RequestTerms {
  readonly id: string;
  /** How long the caller waits; absent when it does not tell. */
  readonly patience?: Milliseconds;
  readonly key?: string;
  readonly model?: ModelTerms;
  /** The last event that the caller has of a stream it resumes. */
  readonly lastEvent?: number;
}

/** What a replica is told with one attempt. */
export interface AttemptTerms {
  readonly replica: string;
  readonly remaining: Milliseconds;
  readonly customer?: string;
  /** 0 is first. */
  readonly priority?: number;
  readonly weights?: number;
  readonly salt?: string;
  /** What to fetch and save, for each part of the prompt in order. */
  readonly parts?: readonly PartPlan[];
  /** End of the fetches on the replicas' own clock. */
  readonly fetchEnd?: Timestamp;
  readonly lastEvent?: number;
}

/** What the head of a replica's answer says. */
export interface AnswerTerms {
  readonly requestId?: string;
  /** True when the replica says that it did not run the request. */
  readonly isRefusal: boolean;
  /** True when the refusal is for another incarnation or weight version. */
  readonly isMisdirected: boolean;
  /** The replica that answers, where it says so. */
  readonly replica?: string;
  readonly weights?: number;
}

export abstract class Dialect {
  abstract readRequest(headers: IncomingHttpHeaders): RequestTerms;
  /** Flat list of names and values, from the caller's own flat list. */
  abstract composeRequest(
    headers: readonly string[],
    terms: AttemptTerms,
  ): string[];
  abstract readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerTerms;
}
