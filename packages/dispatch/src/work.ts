/**
 * A request as the decisions see it, without its bytes.
 */
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { Customer, Route } from "./desired_state.ts";

/** A part of a prompt that requests share by its id. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: Tokens;
}

export interface ModelTerms {
  readonly model: string;
  readonly promptTokens: Tokens;
  readonly outputTokens: Tokens;
  /** The prompt in order; the last part is the request's own. */
  readonly parts: readonly PromptPart[];
}

export interface Work {
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly customer?: Customer;
  /** Present for prompts of a model. */
  readonly terms?: ModelTerms;
  /** When the request arrived, on the monotonic clock. */
  readonly arrived: Milliseconds;
  /** When its final answer is due. */
  readonly due: Milliseconds;
}

export function isRepeatable({ route }: Work): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "stream" && route.isResumable);
}

/** Rank among all requests; 0 is first. */
export function priorityOf({ route, customer }: Work): number {
  return customer?.priority ?? route.priority;
}
