/**
 * Forwards the response of one attempt to the caller. A stream is forwarded
 * event by event. A plain response is buffered until it is complete, so that
 * another attempt can replace one that breaks off; above the buffer limit it is
 * forwarded as it arrives.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type ByteBudget,
  type ByteQueue,
  createByteQueue,
} from "@peridotvalve/connections";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { AttemptOutcome, AttemptWatch } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type { Attempt, ResponseHead } from "./connection_pools.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { MAX_SILENCE } from "./silence_limits.ts";

/** Progress of the response to a caller, over all attempts. */
export interface ResponseProgress {
  /** Time to the response or its first event; 0 before it. */
  firstEvent: Milliseconds;
  /** Id of the last event sent to the caller; 0 before the first. */
  lastEvent: number;
  /** Time of the last event, on the monotonic clock; 0 before the first. */
  lastEventAt: Milliseconds;
  /** Longest time between two events. */
  maxEventGap: Milliseconds;
  /**
   * True when a plain response has started, which cannot be continued from
   * another replica.
   */
  hasPlainResponse: boolean;
}

export interface Forwarding {
  readonly clock: Clock;
  readonly attempt: Attempt;
  readonly head: ResponseHead;
  readonly caller: Caller;
  readonly watch: AttemptWatch;
  readonly progress: ResponseProgress;
  /** Arrival time of the request, on the monotonic clock. */
  readonly arrivedAt: Milliseconds;
}

export interface StreamForwarding extends Forwarding {
  /**
   * Silence after which the stream is resumed on another replica; undefined
   * when it cannot be resumed.
   */
  readonly gapLimit: Milliseconds | undefined;
  /** Called when data has been received from the replica. */
  readonly onData: () => void;
  /**
   * Called when a complete event has arrived. Comments and other text without
   * an id do not show that the replica has begun its answer.
   */
  readonly onEvent: () => void;
}

export async function forwardStream(
  options: StreamForwarding,
): Promise<AttemptOutcome> {
  const { attempt, head, caller, watch, progress, gapLimit } = options;
  const splitter = createEventSplitter();
  const isResumed = caller.hasStarted();
  let hasEvents = false;
  const body = attempt.body();
  for (;;) {
    const next = await body.next();
    if (next.done) {
      const failure = next.value;
      if (failure === undefined && !splitter.hasPartialEvent()) break;
      return watch.cause() ?? {
        kind: "broken",
        reason: failure?.reason ?? "ended within an event",
      };
    }
    options.onData();
    // Time spent on writing to a slow caller does not count as silence.
    watch.limitSilence(Infinity);
    const completed = splitter.push(next.value, progress.lastEvent);
    if (splitter.isOverrun()) {
      attempt.cancel(ENDLESS);
      return { kind: "broken", reason: ENDLESS };
    }
    if (completed !== undefined) {
      hasEvents = true;
      recordEvent(options);
      if (!caller.hasStarted()) caller.writeHead(head.status, head.rawHeaders);
      if (completed.lastId !== undefined) {
        progress.lastEvent = completed.lastId;
        options.onEvent();
      }
      await caller.write(completed.bytes);
    }
    if (gapLimit !== undefined) {
      watch.limitSilence(MAX_SILENCE, gapLimit);
    }
  }
  // An answer without events does not show that the stream had all of them.
  if (isResumed && !hasEvents) {
    return { kind: "broken", reason: "resumed without events" };
  }
  if (!caller.hasStarted()) caller.writeHead(head.status, head.rawHeaders);
  caller.finish();
  return { kind: "done", status: head.status };
}

function recordEvent({ clock, progress, arrivedAt }: Forwarding): void {
  const now = clock.monotonic();
  if (progress.firstEvent === 0) progress.firstEvent = now - arrivedAt;
  else {
    const gap = now - progress.lastEventAt;
    progress.maxEventGap = Math.max(progress.maxEventGap, gap);
  }
  progress.lastEventAt = now;
}

export interface PlainForwarding extends Forwarding {
  /**
   * Returns true when another attempt may replace a failed response of the
   * replica.
   */
  readonly mayRetry: () => boolean;
  /** Shared by the buffers of all plain responses of the daemon. */
  readonly memory: ByteBudget;
  /** Called when data has been received from the replica. */
  readonly onData: () => void;
}

/** Maximum number of buffered bytes of a plain response. */
const MAX_BUFFERED: Bytes = 256 * 1_024;

/**
 * Maximum number of buffered bytes of all plain responses; a quarter of the 98
 * MiB that an idle daemon leaves of the smallest VM. Beyond it, responses are
 * forwarded as they arrive.
 */
export const MAX_BUFFERED_TOGETHER: Bytes = 24 * 1_024 * 1_024;

/** A longer plain response is taken for one without an end. */
const MAX_PLAIN_RESPONSE: Bytes = 16 * 1_024 * 1_024;

/** Bytes of a refusal that are read to use its connection again. */
const MAX_DISCARDED: Bytes = 64 * 1_024;

/**
 * Time for which a refusal is read to use its connection again. Its request may
 * wait for another replica meanwhile; ten milliseconds separate two regions.
 */
const MAX_DISCARD_TIME: Milliseconds = 100;

/** Reason of a response that is broken off because it does not end. */
export const ENDLESS = "endless response";

export async function forwardPlainResponse(
  options: PlainForwarding,
): Promise<AttemptOutcome> {
  const buffered = createByteQueue();
  try {
    return await forwardBuffered(options, buffered);
  } finally {
    options.memory.giveBack(buffered.size);
  }
}

/** The bytes in `buffered` have been taken from the budget. */
async function forwardBuffered(
  options: PlainForwarding,
  buffered: ByteQueue,
): Promise<AttemptOutcome> {
  const { clock, attempt, head, caller, watch, progress, arrivedAt } = options;
  const { memory } = options;
  const { status, rawHeaders } = head;
  const isResumed = caller.hasStarted();
  let size: Bytes = 0;
  for (const body = attempt.body();;) {
    const next = await body.next();
    if (!next.done) {
      options.onData();
      size += next.value.length;
      if (size > (isResumed ? MAX_BUFFERED : MAX_PLAIN_RESPONSE)) {
        attempt.cancel(ENDLESS);
        return { kind: "lost", reason: ENDLESS };
      }
      if (isResumed) continue;
      const mayBuffer = !caller.hasStarted() && size <= MAX_BUFFERED;
      if (mayBuffer && memory.tryTake(next.value.length)) {
        buffered.push(next.value);
        continue;
      }
      if (!caller.hasStarted()) await begin(rawHeaders);
      await caller.write(next.value);
      continue;
    }
    if (next.value === undefined) break;
    return watch.cause() ?? { kind: "lost", reason: next.value.reason };
  }
  if (isResumed) return { kind: "broken", reason: `resumed with ${status}` };
  if (!caller.hasStarted()) {
    if (status >= 500 && options.mayRetry()) return { kind: "failed", status };
    await begin(withContentLength(rawHeaders, size));
  }
  caller.finish();
  return { kind: "done", status };

  async function begin(headers: readonly string[]): Promise<void> {
    progress.firstEvent = clock.monotonic() - arrivedAt;
    progress.hasPlainResponse = true;
    // Another replica could not continue the response.
    watch.limitSilence(Infinity);
    caller.writeHead(status, headers);
    for (;;) {
      const chunk = buffered.shift();
      if (chunk === undefined) return;
      memory.giveBack(chunk.length);
      await caller.write(chunk);
    }
  }
}

/** Reads and discards the rest of a response, or closes a long or slow one. */
export async function discardBody(attempt: Attempt): Promise<void> {
  const timer = setTimeout(() => attempt.cancel(ENDLESS), MAX_DISCARD_TIME);
  let size: Bytes = 0;
  for (const body = attempt.body();;) {
    const next = await body.next();
    if (next.done) break;
    size += next.value.length;
    if (size > MAX_DISCARDED) attempt.cancel(ENDLESS);
  }
  clearTimeout(timer);
}

/** Sets the length of a complete body, whatever framing the replica used. */
function withContentLength(
  headers: readonly string[],
  length: Bytes,
): readonly string[] {
  const others: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]?.toLowerCase() === "content-length") continue;
    others.push(headers[at] ?? "", headers[at + 1] ?? "");
  }
  return [...others, "content-length", String(length)];
}

const EVENT_STREAM = /^text\/event-stream\s*(?:;|$)/i;

export function isEventStream({ status, headers }: ResponseHead): boolean {
  const type = headers["content-type"];
  return status === 200 && typeof type === "string" && EVENT_STREAM.test(type);
}
