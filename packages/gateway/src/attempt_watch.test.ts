import { createSystemClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SILENT, watchAttempt } from "./attempt_watch.ts";
import type { Caller } from "./caller.ts";
import { Attempt, type AttemptFailure } from "./connection_pools.ts";

/** A watched attempt whose replica sends nothing, and its cancellations. */
function setUp(t: TestContext, seekOther: () => boolean) {
  const clock = createSystemClock();
  const cancelled: string[] = [];
  let endCancelled = () => {};
  const isCancelled = new Promise<void>((resolve) => endCancelled = resolve);
  const attempt = new (class extends Attempt {
    override readonly head = new Promise<never>(() => {});
    override body(): AsyncGenerator<Uint8Array, AttemptFailure | undefined> {
      throw new Error("the test reads no body");
    }
    override wasBrokenOff(): boolean {
      return false;
    }
    override cancel(reason: string): void {
      cancelled.push(reason);
      endCancelled();
    }
  })();
  const caller = { onDisconnect() {} } as Partial<Caller> as Caller;
  const watch = watchAttempt(attempt, {
    clock,
    caller,
    deadline: clock.monotonic() + 60_000,
    silence: () => Infinity,
    seekOther,
  });
  t.after(() => watch.stop());
  return { watch, cancelled, isCancelled };
}

// Guards against a stream that is cut off at a silent replica although no other
// one has room, and is then given up while the first would have gone on.
test("a silent replica keeps the request until another has room", async (t) => {
  let hasRoom = false;
  const { watch, cancelled, isCancelled } = setUp(t, () => hasRoom);
  watch.limitSilence(10);
  await sleep(500);
  expect(cancelled).toEqual([]);
  hasRoom = true;
  await isCancelled;
  expect(cancelled).toEqual([SILENT]);
});

// Guards against a limit that stays in force after the replica has sent data.
test("data ends the wait for another replica", async (t) => {
  let hasRoom = false;
  const { watch, cancelled } = setUp(t, () => hasRoom);
  watch.limitSilence(10);
  await sleep(300);
  watch.limitSilence(Infinity);
  hasRoom = true;
  await sleep(500);
  expect(cancelled).toEqual([]);
  expect(watch.cause()).toEqual(undefined);
});

// Guards against REFUSED and TWICE: an attempt begins after the request has been
// answered, because the check of its silence was due in the same turn.
for (const end of ["stop", "limit"] as const) {
  test(`no other replica is sought after the ${end}`, async (t) => {
    let sought = 0;
    const { watch } = setUp(t, () => {
      sought += 1;
      return false;
    });
    watch.limitSilence(5);
    // It runs between the timer of the silence and its check.
    setTimeout(() => {
      if (end === "stop") watch.stop();
      else watch.limitSilence(Infinity);
    }, 5);
    await sleep(50);
    expect(sought).toEqual(0);
  });
}
