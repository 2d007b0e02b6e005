/**
 * Passes the answer of one attempt on to the caller. A stream goes on event by
 * event; a plain answer goes on when it is whole, so that one that breaks off
 * can be replaced, or from the size on that is held for one request.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import type { AttemptEnd, Watch } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import type { AnswerHead, Attempt } from "./channels.ts";
import { createEventSplitter } from "./events.ts";
import { DEAD_SILENCE } from "./patience.ts";

/** What a caller has got of its answer, over all attempts. */
export interface Progress {
  /** Time to the answer or its first event; 0 before it. */
  firstEvent: Milliseconds;
  /** Id of the last event that the caller has; 0 before the first. */
  lastEvent: number;
  /** When the last event came, on the monotonic clock; 0 before the first. */
  lastEventAt: Milliseconds;
  /** Longest time between two events. */
  longestPause: Milliseconds;
  /** A plain answer has begun, which cannot go on at another replica. */
  isPlain: boolean;
}

export interface Passing {
  readonly clock: Clock;
  readonly opened: Attempt;
  readonly head: AnswerHead;
  readonly caller: Caller;
  readonly watch: Watch;
  readonly progress: Progress;
  /** When the request arrived, on the monotonic clock. */
  readonly arrived: Milliseconds;
}

export interface StreamPassing extends Passing {
  /** Silence after which the stream goes on elsewhere; undefined if not. */
  readonly longestGap: Milliseconds | undefined;
  /** Something has arrived from the replica. */
  readonly onHeard: () => void;
}

export async function passStream(passing: StreamPassing): Promise<AttemptEnd> {
  const { opened, head, caller, watch, progress, longestGap } = passing;
  const splitter = createEventSplitter();
  const body = opened.body();
  for (;;) {
    const next = await body.next();
    if (next.done) {
      const failure = next.value;
      if (failure === undefined && !splitter.hasRest()) break;
      return watch.cause() ?? {
        kind: "broken",
        reason: failure?.reason ?? "ended within an event",
      };
    }
    passing.onHeard();
    // The time in which a slow caller takes the events is not silence.
    watch.limitSilence(Infinity);
    const whole = splitter.push(next.value, progress.lastEvent);
    if (whole !== undefined) {
      noteEvent(passing);
      if (!caller.hasBegun()) caller.begin(head.status, head.rawHeaders);
      if (whole.lastId !== undefined) progress.lastEvent = whole.lastId;
      await caller.write(whole.bytes);
    }
    if (longestGap !== undefined) {
      watch.limitSilence(DEAD_SILENCE, longestGap);
    }
  }
  if (!caller.hasBegun()) caller.begin(head.status, head.rawHeaders);
  caller.finish();
  return { kind: "done", status: head.status };
}

function noteEvent({ clock, progress, arrived }: Passing): void {
  const now = clock.monotonic();
  if (progress.firstEvent === 0) progress.firstEvent = now - arrived;
  else {
    const pause = now - progress.lastEventAt;
    progress.longestPause = Math.max(progress.longestPause, pause);
  }
  progress.lastEventAt = now;
}

export interface PlainPassing extends Passing {
  /** True when a failure of the replica may be answered by another attempt. */
  readonly mayRepeat: () => boolean;
}

/**
 * Bytes of a plain answer that are held back. 200 requests at once take 50 MB
 * of the 120 MB that a daemon's heap may grow to.
 */
const MAX_HELD: Bytes = 256 * 1_024;

export async function passAnswer(passing: PlainPassing): Promise<AttemptEnd> {
  const { clock, opened, head, caller, watch, progress, arrived } = passing;
  const { status, rawHeaders } = head;
  const isResumed = caller.hasBegun();
  const chunks: Uint8Array[] = [];
  let size: Bytes = 0;
  for (const body = opened.body();;) {
    const next = await body.next();
    if (!next.done) {
      size += next.value.length;
      if (isResumed) continue;
      if (caller.hasBegun()) await caller.write(next.value);
      else chunks.push(next.value);
      if (size > MAX_HELD && !caller.hasBegun()) await begin(rawHeaders);
      continue;
    }
    if (next.value === undefined) break;
    return watch.cause() ?? { kind: "lost", reason: next.value.reason };
  }
  if (isResumed) return { kind: "broken", reason: `resumed with ${status}` };
  if (!caller.hasBegun()) {
    if (status >= 500 && passing.mayRepeat()) return { kind: "failed", status };
    await begin(withLength(rawHeaders, size));
  }
  caller.finish();
  return { kind: "done", status };

  async function begin(headers: readonly string[]): Promise<void> {
    progress.firstEvent = clock.monotonic() - arrived;
    progress.isPlain = true;
    caller.begin(status, headers);
    for (const chunk of chunks.splice(0)) await caller.write(chunk);
  }
}

/** Reads the rest of an answer that goes to nobody. */
export async function drain(opened: Attempt): Promise<void> {
  const body = opened.body();
  while (!(await body.next()).done);
}

/** A whole body is sent with its length, whatever framing the replica used. */
function withLength(
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
