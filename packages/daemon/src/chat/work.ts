/**
 * Types that the stages of a chat completion share.
 */
import type { Milliseconds, ModelGroup } from "@peridotvalve/types";
import type { Identity } from "../callers/authentication.ts";
import type { ChatRequest } from "./request.ts";

/** A validated chat-completion request. */
export interface ChatWork {
  readonly request: string;
  readonly identity: Identity;
  readonly group: ModelGroup;
  readonly chat: ChatRequest;
  /** Key of the conversation; unique within the customer. */
  readonly conversation: string;
  /** Monotonic time until which the caller waits for the first token. */
  readonly deadline: Milliseconds;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Scheduling priority in the engine; lower values run first. */
  readonly priority: number;
}

/** Part of a completion that the relay passes to the response writer. */
export type RelayPart =
  | { readonly kind: "started"; readonly cachedTokens: number }
  | { readonly kind: "text"; readonly text: string }
  | {
    readonly kind: "finished";
    readonly finish: "stop" | "length";
    readonly tokens: number;
  };
