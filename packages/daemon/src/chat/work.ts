/**
 * One chat completion on its way through the daemon.
 */
import type { Milliseconds, ModelGroup } from "@peridotvalve/types";
import type { Identity } from "../callers/authentication.ts";
import type { Chat } from "./request.ts";

export interface ChatWork {
  readonly request: string;
  readonly identity: Identity;
  readonly group: ModelGroup;
  readonly chat: Chat;
  /** Key of the conversation within the customer. */
  readonly conversation: string;
  /** Monotonic time at which the caller's patience ends. */
  readonly deadline: Milliseconds;
  /** Fires when the caller has gone. */
  readonly signal: AbortSignal;
  /** Priority for the engine; lower runs first. */
  readonly priority: number;
}

/** What the relay tells the response writer. */
export type RelayPart =
  | { readonly kind: "started"; readonly cachedTokens: number }
  | { readonly kind: "text"; readonly text: string }
  | {
    readonly kind: "finished";
    readonly finish: "stop" | "length";
    readonly tokens: number;
  };
