import { createSystemClock } from "@peridotvalve/clock";
import { createByteBudget } from "@peridotvalve/connections";
import { createHttpClient } from "@peridotvalve/tables";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { AttemptWatch } from "./attempt_watch.ts";
import { Caller } from "./caller.ts";
import { createConnectionPools } from "./connection_pools.ts";
import {
  discardBody,
  ENDLESS,
  forwardPlainResponse,
  forwardStream,
  type ResponseProgress,
} from "./response_forwarding.ts";

// The pattern: a replica in trouble that sends bytes that are no answer, in a
// head or a body, until its caller closes the connection.

const MEBIBYTE = 1_024 * 1_024;
const SENT_BYTES = 200 * MEBIBYTE;

/** Growth of resident memory that a test allows. */
const MAX_GROWTH = 64 * MEBIBYTE;

const STREAM_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const PLAIN_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const LONG_HEAD = `HTTP/1.1 200 OK\r\nContent-Length: ${10 ** 12}\r\n\r\n`;

/** Sends `head`, then `filler` over and over until 200 MiB are written. */
async function startEndlessServer(
  context: TestContext,
  { head, filler }: { readonly head: string; readonly filler: string },
) {
  let sent = 0;
  const chunk = Buffer.from(filler.repeat(Math.ceil(65_536 / filler.length)));
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(head);
      const fill = () => {
        while (sent < SENT_BYTES && !socket.destroyed) {
          sent += chunk.length;
          if (!socket.write(chunk)) return;
        }
      };
      socket.on("drain", fill);
      fill();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { origin: `127.0.0.1:${port}`, sent: () => sent };
}

function createSilentCaller() {
  let received = 0;
  let hasStarted = false;
  const caller = new (class extends Caller {
    override hasDisconnected = () => false;
    override onDisconnect(): void {}
    override writeHead(): void {
      hasStarted = true;
    }
    override hasStarted = () => hasStarted;
    override write(bytes: Uint8Array): Promise<void> {
      received += bytes.length;
      return Promise.resolve();
    }
    override finish(): void {}
    override destroy(): void {}
    override refuse(): void {}
  })();
  return { caller, received: () => received };
}

const idleWatch: AttemptWatch = {
  limitSilence() {},
  leave() {},
  withdraw() {},
  cause: () => undefined,
  stop() {},
};

function createProgress(): ResponseProgress {
  return {
    firstEvent: 0,
    lastEvent: 0,
    lastEventAt: 0,
    maxEventGap: 0,
    hasPlainResponse: false,
  };
}

async function openAttempt(origin: string) {
  const attempt = createConnectionPools().open({
    origin,
    connections: 1,
    method: "GET",
    path: "/",
    headers: ["host", "service.example"],
    body: undefined,
  });
  return { attempt, head: await attempt.head };
}

/** Expects that most bytes were not sent and that memory has not grown. */
function expectBounded(sent: number, memoryBefore: number): void {
  expect(sent < SENT_BYTES).toEqual(true);
  expect(process.memoryUsage.rss() - memoryBefore < MAX_GROWTH).toEqual(true);
}

const STREAM_FILLERS = {
  "bytes without an event": "x",
  "empty lines": "\n\n",
  "events without an id": "data: nothing\n\n",
  "the same event": "id: 1\ndata: token\n\n",
};

for (const [name, filler] of Object.entries(STREAM_FILLERS)) {
  test(`a stream of ${name} without end is broken off`, async (context) => {
    const before = process.memoryUsage.rss();
    const server = await startEndlessServer(context, {
      ...{ head: STREAM_HEAD, filler },
    });
    const { attempt, head } = await openAttempt(server.origin);
    const { caller, received } = createSilentCaller();
    const outcome = await forwardStream({
      ...{ clock: createSystemClock(), attempt, caller, watch: idleWatch },
      ...{ head: head.unwrap(), progress: createProgress(), arrivedAt: 0 },
      gapLimit: undefined,
      onData: () => {},
      onEvent: () => {},
    });
    expect(outcome).toEqual({ kind: "broken", reason: ENDLESS });
    expect(received() < MEBIBYTE).toEqual(true);
    expectBounded(server.sent(), before);
  });
}

for (const head of [PLAIN_HEAD, LONG_HEAD]) {
  const length = head === LONG_HEAD ? "a stated" : "no";
  test(`a plain body with ${length} length is broken off`, async (context) => {
    const before = process.memoryUsage.rss();
    const server = await startEndlessServer(context, { head, filler: "x" });
    const opened = await openAttempt(server.origin);
    const outcome = await forwardPlainResponse({
      ...{ clock: createSystemClock(), attempt: opened.attempt },
      ...{ caller: createSilentCaller().caller, watch: idleWatch },
      ...{ head: opened.head.unwrap(), progress: createProgress() },
      arrivedAt: 0,
      memory: createByteBudget(MEBIBYTE),
      mayRetry: () => false,
      onData: () => {},
    });
    expect(outcome).toEqual({ kind: "lost", reason: ENDLESS });
    expectBounded(server.sent(), before);
  });
}

// Guards against the buffers of many plain responses that together exceed the
// memory of the VM, each of them within its limit.
test("plain responses beyond the budget are not buffered", async (context) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    sockets.push(socket);
    socket.write(PLAIN_HEAD + "x".repeat(60_000));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const memory = createByteBudget(100_000);
  const forward = async () => {
    const opened = await openAttempt(`127.0.0.1:${port}`);
    const { caller, received } = createSilentCaller();
    const outcome = forwardPlainResponse({
      ...{ clock: createSystemClock(), attempt: opened.attempt },
      ...{ caller, watch: idleWatch, progress: createProgress() },
      ...{ head: opened.head.unwrap(), arrivedAt: 0, memory },
      mayRetry: () => false,
      onData: () => {},
    });
    return { outcome, received };
  };
  const both = await Promise.all([forward(), forward()]);
  const early = () =>
    both.map(({ received }) => received()).sort((a, b) => a - b);
  for (let at = 0; at < 100 && early()[1] !== 60_000; at += 1) await sleep(50);
  expect(early()).toEqual([0, 60_000]);
  for (const socket of sockets) socket.end();
  for (const { outcome } of both) {
    expect(await outcome).toEqual({ kind: "done", status: 200 });
  }
  expect(both.map(({ received }) => received())).toEqual([60_000, 60_000]);
  expect(memory.tryTake(100_000)).toEqual(true);
});

test("the body of a refusal is not read to its end", async (context) => {
  const before = process.memoryUsage.rss();
  const head = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n";
  const server = await startEndlessServer(context, { head, filler: "x" });
  const { attempt } = await openAttempt(server.origin);
  await discardBody(attempt);
  expectBounded(server.sent(), before);
});

// Guards against a refused request that waits until its deadline for the end of
// the refusal, and then fails instead of being sent to another replica.
test("a refusal that trickles is not read to its end", async (context) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n");
    const timer = setInterval(() => socket.write("x"), 10);
    socket.on("close", () => clearInterval(timer));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const { attempt } = await openAttempt(`127.0.0.1:${port}`);
  context.after(() => attempt.cancel("the test ends"));
  const late = sleep(5_000, "still reading", { ref: false });
  const read = discardBody(attempt).then(() => "discarded");
  expect(await Promise.race([read, late])).toEqual("discarded");
});

test("a head without end fails the attempt", async (context) => {
  const before = process.memoryUsage.rss();
  const server = await startEndlessServer(context, {
    head: "HTTP/1.1 200 OK\r\n",
    filler: "X-Filler: x\r\n",
  });
  const { head } = await openAttempt(server.origin);
  expect(head.isErr()).toEqual(true);
  expectBounded(server.sent(), before);
});

// Guards against control calls to many replicas that together exceed the memory
// of the VM, each of them within its limit.
test("long answers to control calls share a budget", async (context) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (request) => {
      const length = String(request).startsWith("GET /short") ? 100 : 600_000;
      socket.write(PLAIN_HEAD + "x".repeat(length));
      if (length === 100) socket.end();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const client = createHttpClient({
    origin: `http://127.0.0.1:${port}`,
    clock: createSystemClock(),
    connections: 4,
    maxResponseBytes: MEBIBYTE,
    memory: createByteBudget(MEBIBYTE),
    createHeaders: () => ({}),
  });
  context.after(() => client.close());
  const send = (path: string) => client.send({ method: "GET", path }, 4_000);
  const long = [send("/long"), send("/long")];
  const refused = await Promise.race(long);
  expect(refused).toEqual({
    ...{ kind: "lost", reason: "no memory for a long answer" },
  });
  expect((await send("/short")).kind).toEqual("answered");
  expect(
    (await Promise.all(long)).map((exchange) =>
      "reason" in exchange ? exchange.reason : ""
    ).sort(),
  ).toEqual(["no answer within 4000 ms", "no memory for a long answer"]);
  const again = await send("/short");
  expect(again.kind).toEqual("answered");
});

// The client of the store, of replicas' control calls and of peers.
test("a control call is not read to its end", async (context) => {
  const before = process.memoryUsage.rss();
  const server = await startEndlessServer(context, {
    ...{ head: PLAIN_HEAD, filler: "x" },
  });
  const client = createHttpClient({
    origin: `http://${server.origin}`,
    clock: createSystemClock(),
    connections: 1,
    maxResponseBytes: MEBIBYTE,
    createHeaders: () => ({}),
  });
  const exchange = await client.send({ method: "GET", path: "/" }, 10_000);
  expect(exchange.kind).toEqual("lost");
  expectBounded(server.sent(), before);
  await client.close();
});
