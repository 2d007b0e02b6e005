import { Clock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createSendGate } from "./send_gate.ts";

/** A gate whose turns end when the test says so. */
function setUp() {
  let time = 0;
  let endTurn = () => {};
  const clock = new (class extends Clock {
    override now = () => time;
    override monotonic = () => time;
    override sleep = () => Promise.reject(new Error("nothing sleeps here"));
  })();
  const gate = createSendGate({
    clock,
    nextTurn: () => new Promise((resolve) => endTurn = resolve),
  });
  const passed: string[] = [];
  return {
    passed,
    gate,
    wait: (duration: number) => time += duration,
    /** Sends a request whose placement takes `work` ms. */
    async send(name: string, work = 0): Promise<void> {
      await gate.pass();
      passed.push(name);
      time += work;
    },
    /** Reads the sockets, which takes `duration` ms. */
    async turn(duration = 0): Promise<void> {
      time += duration;
      endTurn();
      await setImmediate();
    },
  };
}

// Guards against GONE: a request that shares the reading of one before it is
// sent before its own caller's close is read.
test("a request that comes during a reading waits for the next one", async () => {
  const { passed, send, turn } = setUp();
  void send("first");
  await turn();
  void send("second");
  await turn();
  expect(passed).toEqual(["first"]);
  await turn();
  expect(passed).toEqual(["first", "second"]);
});

// Guards against GONE: of many requests that pass in one turn, the last is sent
// when the reading is long over.
test("requests wait for another reading when a turn has taken long", async () => {
  const { passed, send, turn } = setUp();
  for (const name of ["a", "b", "c", "d", "e"]) void send(name, 60);
  await turn();
  await turn();
  expect(passed).toEqual(["a", "b"]);
  await turn();
  expect(passed).toEqual(["a", "b", "c", "d"]);
});

test("a process that is always late passes one request in each turn", async () => {
  const { passed, send, turn } = setUp();
  for (const name of ["a", "b", "c"]) void send(name);
  await turn(900);
  for (const count of [1, 2, 3]) {
    await turn(900);
    expect(passed.length).toEqual(count);
  }
});

test("a reading is recent for a while", () => {
  const { gate, wait } = setUp();
  wait(100);
  expect(gate.isRecent(0)).toEqual(true);
  wait(1);
  expect(gate.isRecent(0)).toEqual(false);
});
