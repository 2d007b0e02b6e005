/**
 * Validates the events of one attempt: first `start`, with the attempt's id and
 * the requested weights, then tokens with contiguous offsets, then `end` with
 * the offset after the last token as its count.
 */
import type { Generation, GenerationEvent } from "@peridotvalve/types";
import type { EventSourceMessage } from "eventsource-parser";
import { Err, Ok, type Result } from "ts-results-es";
import {
  endSchema,
  parseJson,
  startSchema,
  tokenSchema,
} from "./http_schemas.ts";

/** Returns the event of a message, or why it must not be forwarded. */
export type EventCheck = (
  message: EventSourceMessage,
) => Result<GenerationEvent, string>;

export function createEventCheck(generation: Generation): EventCheck {
  let started = false;
  let next = generation.resume?.offset ?? 0;

  return function check(message) {
    const event = parseEvent(message);
    if (event === undefined) return Err("unexpected or malformed event");
    if (event.attempt !== generation.attempt) {
      return Err(`event of another attempt: ${event.attempt}`);
    }
    if ((event.kind === "start") === started) {
      return Err(`unexpected ${event.kind} event`);
    }
    switch (event.kind) {
      case "start":
        if (event.weights !== generation.weights) {
          return Err(`the engine runs weights ${event.weights}`);
        }
        started = true;
        break;
      case "token":
        if (event.offset !== next) {
          return Err(`got token offset ${event.offset}, expected ${next}`);
        }
        next += 1;
        break;
      case "end":
        if (event.count !== next) {
          return Err(`got end count ${event.count}, expected ${next}`);
        }
        break;
    }
    return Ok(event);
  };
}

function parseEvent(message: EventSourceMessage): GenerationEvent | undefined {
  const { event: kind, data } = message;
  if (kind === "start") {
    const value = parseJson(data, startSchema);
    return value === undefined ? undefined : { kind, ...value };
  }
  if (kind === "token") {
    const value = parseJson(data, tokenSchema);
    return value === undefined ? undefined : { kind, ...value };
  }
  if (kind === "end") {
    const value = parseJson(data, endSchema);
    return value === undefined ? undefined : { kind, ...value };
  }
  return undefined;
}
