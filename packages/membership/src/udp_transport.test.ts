import { expect } from "earl";
import { test } from "node:test";
import { createUdpTransport } from "./udp_transport.ts";

/** Longer than the least standstill that is noticed. */
const STANDSTILL = 800;

test("a datagram arrives over loopback, and its source can be answered", async () => {
  const here = { host: "127.0.0.1", port: 0 };
  const first = (await createUdpTransport(here)).unwrap();
  const second = (await createUdpTransport(here)).unwrap();
  const signal = AbortSignal.timeout(10_000);
  first.send("not an address", Buffer.from("x"));
  first.send(second.address(), Buffer.from("ping"));
  for await (const { from, bytes } of second.receive(signal)) {
    expect(Buffer.from(bytes).toString()).toEqual("ping");
    expect(from).toEqual(first.address());
    second.send(from, Buffer.from("pong"));
    break;
  }
  const answers: string[] = [];
  for await (const { bytes } of first.receive(signal)) {
    answers.push(Buffer.from(bytes).toString());
    break;
  }
  expect(answers).toEqual(["pong"]);
  const port = Number(first.address().split(":")[1]);
  const taken = await createUdpTransport({ host: "127.0.0.1", port });
  expect(taken.isErr()).toEqual(true);
  await first.close();
  await second.close();
  first.send(second.address(), Buffer.from("late"));
});

// Guards against a datagram of before a standstill that counts as new: its ages
// are as of the time at which it was sent.
test("a datagram that lay unread in a standstill says so", async () => {
  const here = { host: "127.0.0.1", port: 0 };
  const first = (await createUdpTransport(here)).unwrap();
  const second = (await createUdpTransport(here)).unwrap();
  const signal = AbortSignal.timeout(10_000);
  first.send(second.address(), Buffer.from("old"));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STANDSTILL);
  const waits: number[] = [];
  for await (const { waited = 0 } of second.receive(signal)) {
    waits.push(waited);
    break;
  }
  await first.close();
  await second.close();
  expect(waits.length).toEqual(1);
  expect(waits.every((waited) => waited >= STANDSTILL)).toEqual(true);
});
