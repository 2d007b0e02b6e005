/**
 * Admission control of chat completions.
 */
import type { Permit } from "@peridotvalve/admission";
import type { Failure } from "@peridotvalve/errors";
import { type Milliseconds, SECOND } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Runtime } from "../runtime.ts";
import { countTokens } from "./prompt.ts";
import type { ChatWork } from "./work.ts";

// Most responses are much shorter than a large `max_tokens`, so the estimated
// service time counts at most this many tokens.
const ASSUMED_OUTPUT_TOKENS = 256;

// Time between tokens of one stream on a loaded replica.
const ASSUMED_TOKEN_INTERVAL: Milliseconds = 30;

/**
 * Waits for a permit of the model group's admission control, with the estimated
 * prefill time and service time of the request.
 */
export function admitChat(
  runtime: Runtime,
  work: ChatWork,
): Promise<Result<Permit, Failure>> {
  const prefill = estimatePrefillTime(work);
  const tokens = Math.min(work.chat.maxTokens, ASSUMED_OUTPUT_TOKENS);
  return runtime.admissionOf(work.chat.model).admit({
    customer: work.identity.name,
    workClass: "advice",
    serviceTime: prefill + tokens * ASSUMED_TOKEN_INTERVAL,
    patience: work.deadline - runtime.clock.monotonic(),
    timeToAnswer: prefill,
  }, work.signal);
}

/**
 * Time to prefill the whole prompt, without cached blocks, on an idle replica
 * of the slowest kind in the group.
 */
export function estimatePrefillTime(work: ChatWork): Milliseconds {
  const prefillRates = Object.values(work.group.replicas)
    .map((replica) => replica.prefillTokensPerSecond);
  return countTokens(work.chat.prompt) / Math.min(...prefillRates) * SECOND;
}
