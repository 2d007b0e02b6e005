import { expect } from "earl";
import { once } from "node:events";
import { createServer, Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { createSystemClock } from "./system_clock.ts";

/** Blocks the event loop, which has the effect of a pause by SIGSTOP. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against a daemon that aborts all its streams after a pause because its
// timers run before it reads the data that arrived during the pause.
test("input that arrived during a pause is read before the deadline fires", async () => {
  const server = createServer((socket) => socket.end("data"));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address() as { readonly port: number };
  const socket = new Socket();
  const connected = once(socket, "connect");
  socket.connect(address.port, "127.0.0.1");
  await connected;
  const received = once(socket, "data").then(() => "data");
  const deadline = createSystemClock().sleep(50).then(() => "deadline");
  // The data arrives and the deadline passes while the event loop is blocked.
  await new Promise((resolve) => setImmediate(resolve));
  blockEventLoop(400);
  expect(await Promise.race([deadline, received])).toEqual("data");
  socket.destroy();
  server.close();
});

// Guards against a task that sleeps on after the daemon has stopped, because
// another sleep of the same signal ended before.
test("an abort ends all sleeps of its signal, whichever ended before", async () => {
  const controller = new AbortController();
  const clock = createSystemClock();
  await clock.sleep(1, controller.signal);
  const started = performance.now();
  const sleeps = [60_000, 1, 60_000].map((duration) =>
    clock.sleep(duration, controller.signal)
  );
  await sleeps[1];
  controller.abort();
  await Promise.all([...sleeps, clock.sleep(60_000, controller.signal)]);
  expect(performance.now() - started < 30_000).toEqual(true);
});
