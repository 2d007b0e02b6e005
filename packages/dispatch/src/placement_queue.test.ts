import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { type DispatchRequest, waitingRankOf } from "./dispatch_request.ts";
import { createPlacementQueue } from "./placement_queue.ts";

function createQueue() {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock);
  const placed: string[] = [];
  let places = 0;
  const enter = (name: string, rank: number, deadline = 1_000) =>
    queue.wait({
      rank,
      deadline,
      isAbandoned: () => false,
      place() {
        if (places === 0) return undefined;
        places -= 1;
        placed.push(name);
        return name;
      },
    });
  const open = (count: number) => {
    places += count;
    queue.retry();
  };
  return { clock, queue, placed, enter, open };
}

// Guards against requests that wait although replicas of their service are
// free, because eight requests of another service are ahead of them.
test("a request does not wait for those of another lane", async () => {
  const { clock, queue, enter } = createQueue();
  const full = Array.from({ length: 9 }, (_, at) => enter(`full-${at}`, 0));
  const other = queue.wait({
    ...{ lane: "other", rank: 1, deadline: 1_000 },
    isAbandoned: () => false,
    place: () => "placed",
  });
  expect(queue.size()).toEqual(9);
  expect(await other).toEqual("placed");
  expect(queue.estimateWait(1, "other")).toEqual(0);
  await clock.advance(1_000);
  queue.retry();
  await Promise.all(full);
});

// Guards against short prompts that wait behind long ones in a burst.
test("urgent requests go first, and earlier ones among equals", async () => {
  const { placed, enter, open } = createQueue();
  const all = [
    enter("long-1", 2),
    enter("long-2", 2),
    enter("short", 0),
    enter("middle", 1),
  ];
  open(2);
  expect(placed).toEqual(["short", "middle"]);
  open(2);
  expect(placed).toEqual(["short", "middle", "long-1", "long-2"]);
  await Promise.all(all);
});

test("a request that is not placed before its deadline gets undefined", async () => {
  const { clock, queue, enter } = createQueue();
  const waiting = enter("late", 1, 50);
  await clock.advance(60);
  expect(await waiting).toEqual(undefined);
  expect(queue.size()).toEqual(0);
});

// Guards against waits that never end for requests that the placement passes do
// not reach.
test("requests far back in the queue end at their deadline", async () => {
  const { clock, queue, enter } = createQueue();
  const waiting = Array.from(
    { length: 40 },
    (_, at) => enter(`r-${at}`, 1, 50),
  );
  await clock.advance(60);
  await Promise.all(waiting);
  expect(queue.size()).toEqual(0);
});

test("a request is placed at once when a replica has capacity", async () => {
  const { enter, open } = createQueue();
  open(1);
  expect(await enter("first", 2)).toEqual("first");
});

// Guards against holding a request deadline its deadline before it is refused,
// although it could not be placed in time.
test("the wait is estimated from the rate of recent placements", async () => {
  const { clock, queue, enter, open } = createQueue();
  expect(queue.estimateWait(2)).toEqual(0);
  open(5);
  for (let turn = 0; turn < 5; turn += 1) await enter(`placed-${turn}`, 2);
  const waiting = [enter("a", 2, 10_000), enter("b", 1, 10_000)];
  expect(queue.estimateWait(2)).toEqual(2 * 1_500 / 5);
  expect(queue.estimateWait(1)).toEqual(1 * 1_500 / 5);
  expect(queue.estimateWait(0)).toEqual(0);
  open(2);
  await Promise.all(waiting);
  await clock.advance(2_000);
  expect(queue.estimateWait(2)).toEqual(0);
});

test("an abandoned request leaves the queue", async () => {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock);
  let isAbandoned = false;
  const waiting = queue.wait({
    rank: 1,
    deadline: Infinity,
    isAbandoned: () => isAbandoned,
    place: () => undefined,
  });
  isAbandoned = true;
  await sleep(30);
  expect(await waiting).toEqual(undefined);
});

// Guards against a request that is never placed because of its size: smaller
// ones that arrive later take each gap before enough is free for it.
test("a large request is placed although smaller ones keep arriving", async () => {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock);
  const placed: string[] = [];
  let free = 0;
  const enter = (name: string, size: number) =>
    queue.wait({
      rank: 1,
      deadline: 1_000,
      isAbandoned: () => false,
      place() {
        if (free < size) return undefined;
        free -= size;
        placed.push(name);
        return name;
      },
    });
  const large = enter("large", 6);
  for (let round = 0; round < 50; round += 1) {
    void enter(`small-${round}`, 2);
    await clock.advance(10);
    free += 2;
    queue.retry();
  }
  await clock.advance(1_000);
  await large;
  expect(placed).toInclude("large");
});

// Guards against callers who wait until their deadline for a refusal that was
// certain before.
test("requests that cannot be placed in their time are given up early", async () => {
  const { clock, queue, enter, open } = createQueue();
  open(5);
  for (let turn = 0; turn < 5; turn += 1) await enter(`placed-${turn}`, 2);
  const waiting = Array.from(
    { length: 20 },
    (_, at) => enter(`r-${at}`, 1, 1_000),
  );
  await clock.advance(110);
  queue.retry();
  // 300 ms a placement: the seventh would wait twice the 890 ms that are left.
  expect(await Promise.all(waiting.slice(6))).toEqual(
    Array(14).fill(undefined),
  );
  expect(queue.size()).toEqual(6);
  expect(queue.retryDelay(1)).toEqual(6 * 300);
  await clock.advance(1_000);
  await Promise.all(waiting);
});

// Guards against placements that leave no time for the prefill, and against a
// change where `mixed_prompts` is off.
test("a request needs time after its placement, unless the queue is not fair", async () => {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock, { isFair: () => false });
  const waiting = queue.wait({
    ...{ rank: 1, deadline: 100, needs: 60, place: () => undefined },
    isAbandoned: () => false,
  });
  await clock.advance(50);
  expect(await waiting).toEqual(undefined);
  expect(queue.retryDelay(1)).toEqual(undefined);
});

// Guards against placements that are tried at each event while many wait, and
// against a delay for a request with none ahead of it.
test("passes keep their distance, but a first request is tried at once", async () => {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock, { spacing: () => 4 });
  let tries = 0;
  const enter = (rank: number, place: () => string | undefined) =>
    queue.wait({ rank, place, deadline: 100, isAbandoned: () => false });
  const full = () => {
    tries += 1;
    return undefined;
  };
  const waiting = [enter(1, full), enter(1, full)];
  for (let event = 0; event < 50; event += 1) queue.retry();
  expect(tries).toEqual(1);
  expect(await enter(0, () => "placed")).toEqual("placed");
  await clock.advance(100);
  queue.retry();
  await Promise.all(waiting);
});

const BOUND = { software: "v2" };

/**
 * Streams that wait for replicas of two versions in turn, of which one takes a
 * request every ten milliseconds: new ones can use both, bound ones the second.
 */
async function shareReplicas({ fresh, bound }: {
  readonly fresh: number;
  readonly bound: number;
}): Promise<{ readonly fresh: number; readonly bound: number }> {
  const clock = createManualClock();
  const queue = createPlacementQueue(clock);
  const route = { priority: 2 } as DispatchRequest["route"];
  let open: string | undefined;
  const placed = { fresh: 0, bound: 0 };
  const enter = (kind: "fresh" | "bound") => {
    const request = { route, ...(kind === "bound" ? BOUND : {}) };
    return queue.wait({
      rank: waitingRankOf(request as DispatchRequest),
      bound: request.software,
      deadline: 300,
      isAbandoned: () => false,
      place() {
        const mayTake = kind === "bound" ? open === "v2" : open !== undefined;
        if (!mayTake) return undefined;
        open = undefined;
        placed[kind] += 1;
        return kind;
      },
    });
  };
  const waits = [
    ...Array.from({ length: fresh }, () => enter("fresh")),
    ...Array.from({ length: bound }, () => enter("bound")),
  ];
  for (let at = 0; at < 30; at += 1) {
    open = at % 2 === 0 ? "v1" : "v2";
    queue.retry();
    await clock.advance(10);
  }
  queue.retry();
  await Promise.all(waits);
  return placed;
}

// Guards against LOST: callers that take streams up wait behind all new ones, and
// for only some of the replicas.
test("streams that go on are placed before new ones", async () => {
  const placed = await shareReplicas({ fresh: 60, bound: 12 });
  expect(placed.bound / 12).toBeGreaterThanOrEqual(placed.fresh / 60 / 2);
});

// Guards against new requests that wait although replicas are free, because the
// replicas of streams ahead of them are full.
test("streams bound to full replicas hold back no others", async () => {
  const { clock, queue, placed, enter, open } = createQueue();
  const waits = Array.from({ length: 9 }, () =>
    queue.wait<string>({
      ...{ rank: 1.5, bound: "v2", deadline: 1_000 },
      isAbandoned: () => false,
      place: () => undefined,
    }));
  waits.push(enter("other", 2));
  open(1);
  const placedAtOnce = [...placed];
  await clock.advance(1_000);
  queue.retry();
  await Promise.all(waits);
  expect(placedAtOnce).toEqual(["other"]);
});
