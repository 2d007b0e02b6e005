import { Clock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { createTinyPieces } from "./tiny_pieces.ts";

/** A clock of a process in which each tiny piece takes some time. */
function setUp(isLimited = true) {
  let time: Milliseconds = 0;
  const clock = new (class extends Clock {
    override now = () => time;
    override monotonic = () => time;
    override sleep = () => Promise.resolve();
  })();
  const tiny = createTinyPieces({ clock, isLimited });
  const refused: string[] = [];
  const open = (name: string) => {
    const body = tiny.track(() => refused.push(name));
    return {
      end: () => body.end(),
      send(pieces: number, timeOfEach: Milliseconds) {
        for (let sent = 0; sent < pieces; sent += 1) {
          time += timeOfEach;
          body.add();
        }
      },
    };
  };
  return { open, refused, wait: (delay: Milliseconds) => time += delay };
}

// Guards against a limit that a single caller of the allowed size meets.
test("a body in tiny pieces that is alone is read to its end", () => {
  const { open, refused } = setUp();
  open("only").send(1_000_000, 0.01);
  expect(refused).toEqual([]);
});

// Guards against a crowd that takes all the time of a process.
test("of bodies that take most of the time, the first is read on", async () => {
  const { open, refused } = setUp();
  const names = ["first", "second", "third"];
  const bodies = names.map((name) => ({ name, body: open(name) }));
  for (let turn = 0; turn < 100; turn += 1) {
    for (const { name, body } of bodies) {
      if (!refused.includes(name)) body.send(2_000, 0.01);
    }
    await nextTurn();
  }
  expect(refused.sort()).toEqual(["second", "third"]);
});

// Guards against refusals by a daemon without limits of its machine, which does
// not close the connections of what it refuses.
test("without limits, no body is refused", () => {
  const { open, refused } = setUp(false);
  const bodies = [open("first"), open("second")];
  for (let turn = 0; turn < 100; turn += 1) {
    for (const body of bodies) body.send(2_000, 0.01);
  }
  expect(refused).toEqual([]);
});

// Guards against slow callers whose pieces take no time of the process.
test("time between two turns does not count", async () => {
  const { open, refused, wait } = setUp();
  const bodies = [open("first"), open("second")];
  for (let turn = 0; turn < 40; turn += 1) {
    for (const body of bodies) body.send(200, 0.001);
    wait(1_000);
    await nextTurn();
  }
  expect(refused).toEqual([]);
});

// Guards against refusals of ordinary chunked bodies beside one in tiny pieces.
test("a body of few tiny pieces is read beside one of many", async () => {
  const { open, refused } = setUp();
  const many = open("many");
  for (let turn = 0; turn < 100; turn += 1) {
    many.send(2_000, 0.01);
    const few = open("few");
    few.send(1_000, 0.01);
    few.end();
    await nextTurn();
  }
  expect(refused).toEqual([]);
});

// Guards against bodies that stop short and keep out those that come later.
test("a body that has stopped or ended does not count as read", async () => {
  const { open, refused, wait } = setUp();
  open("stopped").send(100_000, 0.01);
  const ended = open("ended");
  await nextTurn();
  wait(1_000);
  ended.send(100_000, 0.01);
  ended.end();
  open("last").send(100_000, 0.01);
  expect(refused).toEqual([]);
});
