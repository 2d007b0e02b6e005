import { createSystemClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Agent, request, RetryAgent } from "undici";
import {
  createHttpClient,
  type HttpClient,
  type HttpClientOptions,
} from "./http_client.ts";
import type { HttpFailure } from "./http_failure.ts";

const LIMITS = { timeout: 5_000 };
const ORDER_REQUEST = { method: "POST", path: "/orders", body: "{}" };
const OK_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** A TCP server that calls the test for each request (its first packet). */
interface RawServer {
  readonly address: string;
  /** Connection number of each request, in order of arrival. */
  readonly requests: number[];
  readonly closed: Set<number>;
}

async function withRawServer(
  respond: (socket: Socket, requestNumber: number) => void,
  run: (client: HttpClient, server: RawServer) => Promise<void>,
  options: Partial<HttpClientOptions> = {},
): Promise<void> {
  const sockets: Socket[] = [];
  const requests: number[] = [];
  const closed = new Set<number>();
  const server = createServer((socket) => {
    const number = sockets.push(socket);
    socket.on("error", () => {});
    socket.on("close", () => closed.add(number));
    socket.on("data", (data) => {
      if (!data.toString("latin1").includes(" HTTP/1.1\r\n")) return;
      requests.push(number);
      respond(socket, requests.length);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const clock = createSystemClock();
  const client = createHttpClient({ address, clock, ...options });
  try {
    await run(client, { address, requests, closed });
  } finally {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

async function sendExpectingFailure(client: HttpClient): Promise<HttpFailure> {
  const response = await client.send(ORDER_REQUEST, LIMITS);
  return response.unwrapErr();
}

test("a refused connection counts as not sent", async () => {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  server.close();
  await once(server, "close");
  const client = createHttpClient({ address, clock: createSystemClock() });
  const failure = await sendExpectingFailure(client);
  await client.close();
  expect(failure.sent).toEqual(false);
  expect(failure.reason).toEqual("unreachable");
});

// The server closes or resets a keep-alive connection when the second request
// arrives. The request may have run, so it counts as sent and is not retried.
for (const end of ["destroy", "resetAndDestroy"] as const) {
  test(`a request on a connection that ends is sent once: ${end}`, async () => {
    await withRawServer((socket, number) => {
      if (number === 1) socket.write(OK_RESPONSE);
      else socket[end]();
    }, async (client, server) => {
      expect((await client.send(ORDER_REQUEST, LIMITS)).isOk()).toEqual(true);
      const failure = await sendExpectingFailure(client);
      expect(server.requests).toEqual([1, 1]);
      expect(failure.sent).toEqual(true);
      expect(failure.reason).toEqual("cut");
    }, { connections: 1 });
  });
}

test("a client that retries is visible in the request count", async () => {
  await withRawServer((socket, number) => {
    if (number < 3) socket.destroy();
    else socket.write(OK_RESPONSE);
  }, async (_, server) => {
    const dispatcher = new RetryAgent(new Agent(), { minTimeout: 1 });
    await request(`http://${server.address}/stock/a`, { dispatcher });
    expect(server.requests.length).toEqual(3);
    await dispatcher.destroy();
  });
});

test("a silent connection is destroyed and no open one is reused", async () => {
  await withRawServer((socket, number) => {
    if (number !== 3) socket.write(OK_RESPONSE);
  }, async (client, server) => {
    const pair = [
      client.send(ORDER_REQUEST, LIMITS),
      client.send(ORDER_REQUEST, LIMITS),
    ];
    await Promise.all(pair);
    expect(server.requests.toSorted()).toEqual([1, 2]);
    const silent = await client.send(ORDER_REQUEST, { timeout: 100 });
    expect(silent.unwrapErr().sent).toEqual(true);
    expect(silent.unwrapErr().reason).toEqual("timeout");
    expect((await client.send(ORDER_REQUEST, LIMITS)).isOk()).toEqual(true);
    expect(server.requests[3]).toEqual(3);
    // Both connections that were open at the timeout are closed by now.
    expect([...server.closed].toSorted()).toEqual([1, 2]);
  });
});

for (
  const [name, content] of [
    ["garbage", "hello\r\n\r\n"],
    ["a large header", `HTTP/1.1 200 OK\r\nx: ${"x".repeat(2_000)}\r\n\r\n`],
    [
      "a large body",
      `HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n${"x".repeat(2_000)}`,
    ],
  ] as const
) {
  test(`${name} is a protocol failure of a sent request`, async () => {
    await withRawServer((socket) => socket.write(content), async (client) => {
      const failure = await sendExpectingFailure(client);
      expect(failure.sent).toEqual(true);
      expect(failure.reason).toEqual("protocol");
    }, { maxHeaderBytes: 1_000, maxResponseBytes: 1_000 });
  });
}

test("a body that ends early fails as cut", async () => {
  await withRawServer((socket) => {
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok");
  }, async (client) => {
    expect((await sendExpectingFailure(client)).reason).toEqual("cut");
  });
});

test("a body that is still arriving at the deadline is a timeout", async () => {
  await withRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n");
    const timer = setInterval(() => socket.write("x"), 5);
    socket.on("close", () => clearInterval(timer));
  }, async (client) => {
    const response = await client.send(ORDER_REQUEST, { timeout: 100 });
    expect(response.unwrapErr().reason).toEqual("timeout");
  });
});

test("a withdrawn wait for a connection counts as not sent", async () => {
  let release = () => {};
  await withRawServer((socket, number) => {
    if (number === 1) release = () => socket.write(OK_RESPONSE);
    else socket.write(OK_RESPONSE);
  }, async (client, server) => {
    const first = client.send(ORDER_REQUEST, LIMITS);
    while (server.requests.length === 0) await setImmediate();
    const controller = new AbortController();
    const signal = controller.signal;
    const cancelled = client.send(ORDER_REQUEST, { ...LIMITS, signal });
    const expired = await client.send(ORDER_REQUEST, { timeout: 20 });
    controller.abort();
    const withdrawn = (await cancelled).unwrapErr();
    expect(withdrawn.sent).toEqual(false);
    expect(withdrawn.reason).toEqual("cancelled");
    expect(expired.unwrapErr().sent).toEqual(false);
    expect(expired.unwrapErr().reason).toEqual("timeout");
    release();
    expect((await first).isOk()).toEqual(true);
    // A later request is served; the withdrawn ones never arrive.
    expect((await client.send(ORDER_REQUEST, LIMITS)).isOk()).toEqual(true);
    expect(server.requests.length).toEqual(2);
  }, { connections: 1 });
});

// Guards against a truncated response that is taken as complete: undici
// completes a response without a length when its connection is reset.
test("a response without a length is cut when its connection is reset", async () => {
  const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
  const resets = [
    (socket: Socket) => socket.resetAndDestroy(),
    (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 20),
  ];
  for (const reset of resets) {
    await withRawServer(
      (socket) => socket.write(`${head}half`, () => reset(socket)),
      async (client) => {
        const failure = await sendExpectingFailure(client);
        expect([failure.sent, failure.reason]).toEqual([true, "cut"]);
      },
    );
  }
  await withRawServer(
    (socket) => socket.end(`${head}whole`),
    async (client) => {
      const response = await client.send(ORDER_REQUEST, LIMITS);
      expect(response.isOk()).toEqual(true);
    },
  );
});

// Guards against a request that waits for a connection while the process is
// paused and then reaches an upstream that has left.
test("a withdrawn request is never written", async () => {
  await withRawServer(
    (socket) => socket.write(OK_RESPONSE),
    async (client, { requests }) => {
      const withdrawn = await client.send(ORDER_REQUEST, {
        ...LIMITS,
        shouldSend: () => false,
      });
      const { sent, reason } = withdrawn.unwrapErr();
      expect([sent, reason]).toEqual([false, "withdrawn"]);
      expect(requests).toEqual([]);
      const next = await client.send(ORDER_REQUEST, {
        ...LIMITS,
        shouldSend: () => true,
      });
      expect(next.isOk()).toEqual(true);
      expect(requests.length).toEqual(1);
    },
  );
});

const ONE_BYTE_CHUNKS = "1\r\nx\r\n".repeat(1_000_000);

/** Twenty times the body; a buffer object for each byte takes over a hundred. */
const MAX_GROWTH = 20_000_000;

// Guards against an upstream that sends a body in chunks of one byte without
// end: each chunk took a buffer object of its own.
test("memory follows from the length of a body", async () => {
  await withRawServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    socket.write(ONE_BYTE_CHUNKS);
  }, async (client) => {
    const opened = await client.open(ORDER_REQUEST, LIMITS);
    const exchange = opened.unwrap();
    const deadline = performance.now() + 3_000;
    const before = process.memoryUsage().heapUsed;
    let peak = 0;
    const timer = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().heapUsed - before);
    }, 20);
    const body = await exchange.readAll({ deadline, bytes: 500_000 });
    clearInterval(timer);
    expect(body.unwrapErr().message).toEqual("the response body is too large");
    expect(peak < MAX_GROWTH).toEqual(true);
  });
});
