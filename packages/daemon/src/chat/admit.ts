/**
 * Admission of a chat completion.
 */
import type { Permit } from "@peridotvalve/admission";
import type { Failure } from "@peridotvalve/errors";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Runtime } from "../runtime.ts";
import { countTokens } from "./prompt.ts";
import type { ChatWork } from "./work.ts";

// Answers end long before a large limit; this many tokens are assumed.
const ASSUMED_TOKENS = 256;

// Rate at which a loaded replica generates for one stream.
const ASSUMED_GAP: Milliseconds = 30;

export function admitChat(
  runtime: Runtime,
  work: ChatWork,
): Promise<Result<Permit, Failure>> {
  const prefill = expectFirstToken(work);
  const tokens = Math.min(work.chat.maxTokens, ASSUMED_TOKENS);
  return runtime.admissionOf(work.chat.model).admit({
    customer: work.identity.name,
    workClass: "advice",
    serviceTime: prefill + tokens * ASSUMED_GAP,
    patience: work.deadline - runtime.clock.monotonic(),
    timeToAnswer: prefill,
  }, work.signal);
}

/** Time to prefill the whole prompt on an idle replica of the slowest kind. */
export function expectFirstToken(work: ChatWork): Milliseconds {
  const rates = Object.values(work.group.replicas)
    .map((replica) => replica.prefillTokensPerSecond);
  return countTokens(work.chat.prompt) / Math.min(...rates) * SECOND;
}
