import { Clock, createSystemClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type BodyReader,
  createBodyReader,
  type ReceivedBody,
} from "./body_reader.ts";
import { createMemoryBudget } from "./memory_budget.ts";
import { createReadTurns } from "./read_turns.ts";

const KIBIBYTE = 1_024;
const MAX_BODY = 1_024 * KIBIBYTE;

interface Options {
  readonly limit: number;
  readonly stallLimit?: number;
  /** Time that a body may take in all. */
  readonly timeout?: number;
  /** Time that each reading of the clock adds. */
  readonly clockStep?: number;
}

function createSteppingClock(step: number): Clock {
  const inner = createSystemClock();
  let added = 0;
  return new (class extends Clock {
    override now = () => inner.now();
    override monotonic = () => inner.monotonic() + (added += step);
    override sleep = (...args: Parameters<Clock["sleep"]>) =>
      inner.sleep(...args);
  })();
}

/** A server that reads bodies within a budget. */
async function setUp(
  t: TestContext,
  { limit, stallLimit, timeout = Infinity, clockStep = 0 }: Options,
) {
  const clock = createSteppingClock(clockStep);
  const memory = createMemoryBudget({ clock, limit });
  const reader = createBodyReader({
    ...{ clock, memory, turns: createReadTurns() },
    ...{ stallLimit: () => stallLimit ?? Infinity },
  });
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const arrivals = new Map<string, (request: IncomingMessage) => void>();
  server.on("request", (request: IncomingMessage) => {
    arrivals.get(request.url ?? "")?.(request);
  });
  const open = async (framing: string) => {
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => {});
    t.after(() => socket.destroy());
    const path = `/${arrivals.size}`;
    const received = new Promise<IncomingMessage>((resolve) =>
      arrivals.set(path, resolve)
    );
    socket.write(`POST ${path} HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`);
    const request = await received;
    const endsAt = clock.monotonic() + timeout;
    const result = reader.read(request, MAX_BODY, endsAt);
    return { socket, request, result };
  };
  return { memory, reader, open };
}

const lengthOf = (bytes: number) => `Content-Length: ${bytes}`;
const CHUNKED = "Transfer-Encoding: chunked";

function bytesOf(received: ReceivedBody): Buffer {
  if (received.kind !== "complete") throw new Error(received.kind);
  return Buffer.from(received.body.bytes ?? []);
}

/** Writes a body in pieces that arrive one by one. */
async function writePieces(
  socket: Socket,
  body: Buffer,
  { size, isChunked }: { readonly size: number; readonly isChunked: boolean },
) {
  for (let at = 0; at < body.length; at += size) {
    const piece = body.subarray(at, at + size);
    if (isChunked) socket.write(`${piece.length.toString(16)}\r\n`);
    socket.write(piece);
    if (isChunked) socket.write("\r\n");
    if (size >= KIBIBYTE) await sleep(1);
  }
  if (isChunked) socket.write("0\r\n\r\n");
}

/** Resolves when a body waits for room, or has ended without. */
async function untilWaiting(
  reader: BodyReader,
  result: Promise<ReceivedBody>,
): Promise<void> {
  let isOver = false;
  void result.then(() => isOver = true);
  while (!isOver && reader.waiting() === 0) await sleep(5);
}

// Guards against bytes that are lost or moved where pieces are joined.
for (const isChunked of [false, true]) {
  for (
    const [length, size] of [
      [0, 1],
      [1, 1],
      [3_000, 2_000],
      [30_000, 1],
      [200_000, 130_000],
      [200_000, 30_000],
      [900_000, 65_536],
      [MAX_BODY, 65_000],
    ] as const
  ) {
    const framing = isChunked ? "chunked" : "with a length";
    test(`${length} bytes by ${size}, ${framing}`, async (t) => {
      const { memory, open } = await setUp(t, { limit: 4 * MAX_BODY });
      const body = Buffer.from(
        Array.from({ length }, (_, at) => (at * 7 + (at >> 8)) % 251),
      );
      const { socket, result } = await open(
        isChunked ? CHUNKED : lengthOf(length),
      );
      await writePieces(socket, body, { size, isChunked });
      const received = await result;
      expect(Buffer.compare(bytesOf(received), body)).toEqual(0);
      expect(memory.taken() >= length).toEqual(true);
    });
  }
}

// Guards against memory that a refused body still holds, and against a body that
// waits for room without end.
test("a body without room ends, and gives back what it took", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 300_000 });
  memory.tryTake(200_000);
  const { socket, result } = await open(CHUNKED);
  const body = Buffer.alloc(600_000);
  await writePieces(socket, body, { size: 50_000, isChunked: true });
  expect(await result).toEqual({ kind: "no room" });
  expect([memory.taken(), reader.waiting()]).toEqual([200_000, 0]);
});

// Guards against a body that is refused although room is free in time.
test("a body goes on when there is room again", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 1_000_000 });
  memory.tryTake(900_000);
  const { socket, result } = await open(lengthOf(400_000));
  void writePieces(socket, Buffer.alloc(400_000, "x"), {
    ...{ size: 100_000, isChunked: false },
  });
  while (reader.waiting() === 0) await sleep(5);
  memory.giveBack(900_000);
  const expected = Buffer.alloc(400_000, "x");
  expect(Buffer.compare(bytesOf(await result), expected)).toEqual(0);
});

// Guards against complete bodies that are taken for broken off because their
// requests close while they wait for the room in which their pieces are joined.
test("a complete body waits for the room to be joined", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 1_000_000 });
  memory.tryTake(850_000);
  const { socket, result } = await open(CHUNKED);
  const body = Buffer.alloc(100_000, "x");
  void writePieces(socket, body, { size: 50_000, isChunked: true });
  await untilWaiting(reader, result);
  await sleep(50);
  memory.giveBack(850_000);
  expect(Buffer.compare(bytesOf(await result), body)).toEqual(0);
});

// Guards against memory that is held for a caller who has left, and against
// listeners that stay at its connection.
test("a body that waits to be joined ends with its connection", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 1_000_000 });
  memory.tryTake(850_000);
  const { socket, result } = await open(CHUNKED);
  void writePieces(socket, Buffer.alloc(100_000, "x"), {
    ...{ size: 50_000, isChunked: true },
  });
  await untilWaiting(reader, result);
  socket.destroy();
  expect(await result).toEqual({ kind: "broken off" });
  expect([memory.taken(), reader.waiting()]).toEqual([850_000, 0]);
});

// Guards against callers with short bodies who are refused because the long
// bodies of others hold everything.
test("long bodies leave room for short ones", async (t) => {
  const { open } = await setUp(t, { limit: 1_000_000 });
  const long = await Promise.all(
    Array.from({ length: 6 }, () => open(lengthOf(MAX_BODY - 1))),
  );
  for (const { socket } of long) socket.write(Buffer.alloc(MAX_BODY - 2));
  await Promise.all(
    long.map(({ result }) => Promise.race([result, sleep(1_500)])),
  );
  const short = await open(lengthOf(60_000));
  short.socket.write(Buffer.alloc(60_000, "x"));
  expect((await short.result).kind).toEqual("complete");
});

// Guards against bodies that hold memory for as long as their senders like.
test("a body that stops short ends and gives back its memory", async (t) => {
  const { memory, open } = await setUp(t, { limit: 1e7, stallLimit: 200 });
  const { socket, result } = await open(lengthOf(1_000));
  socket.write(Buffer.alloc(999));
  expect(await result).toEqual({ kind: "stalled" });
  expect(memory.taken()).toEqual(0);
});

// Guards against bodies that trickle, which never stall.
for (
  const [framing, piece] of [
    [lengthOf(1_000), "x"],
    [CHUNKED, "1\r\nx\r\n"],
  ] as const
) {
  test(`a body that arrives too slowly ends: ${framing}`, async (t) => {
    const { memory, open } = await setUp(t, { limit: 1e7, timeout: 300 });
    const { socket, result } = await open(framing);
    const timer = setInterval(() => socket.write(piece), 20);
    t.after(() => clearInterval(timer));
    expect(await result).toEqual({ kind: "stalled" });
    expect(memory.taken()).toEqual(0);
  });
}

// Guards against a crowd whose long bodies stand still and keep out others until
// the stall limit, which is long for the sake of slow callers.
test("a long body that stands still makes room for another", async (t) => {
  const { open } = await setUp(t, { limit: 1_500_000, stallLimit: 60_000 });
  const still = await open(lengthOf(MAX_BODY));
  still.socket.write(Buffer.alloc(MAX_BODY - 1));
  await sleep(1_200);
  const other = await open(lengthOf(600_000));
  other.socket.write(Buffer.alloc(600_000, "x"));
  expect(await still.result).toEqual({ kind: "stalled" });
  expect((await other.result).kind).toEqual("complete");
});

const TINY_PIECES = 100_000;
/** Chunks of one byte without the last one. */
const TINY_CHUNKS = "1\r\nx\r\n".repeat(TINY_PIECES);

// Guards against tiny pieces that pass by long ones, or by a body that waits.
test("long and tiny pieces in turn keep their order", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 1_000_000 });
  memory.tryTake(900_000);
  const { socket, result } = await open(CHUNKED);
  const sizes = Array.from(
    { length: 800 },
    (_, at) => [1, 500, 900, 3][at % 4],
  );
  const pieces = sizes.map((size, at) => Buffer.alloc(size ?? 0, at % 251));
  const chunks = pieces.map((piece) => [
    Buffer.from(`${piece.length.toString(16)}\r\n`),
    piece,
    Buffer.from("\r\n"),
  ]);
  socket.write(Buffer.concat([...chunks.flat(), Buffer.from("0\r\n\r\n")]));
  await untilWaiting(reader, result);
  memory.giveBack(900_000);
  const body = Buffer.concat(pieces);
  expect(Buffer.compare(bytesOf(await result), body)).toEqual(0);
});

// Guards against crowds of bodies in chunks of one byte that take the processor
// for minutes, and against the rest of refused ones that is read all the same.
test("a crowd of bodies in tiny pieces is refused but for one", {
  timeout: 60_000,
}, async (t) => {
  // Each reading of the clock takes longer than the pieces since the last one.
  const { reader, open } = await setUp(t, { limit: 1e8, clockStep: 5 });
  const bodies = await Promise.all(
    Array.from({ length: 10 }, () => open(CHUNKED)),
  );
  const refused = new Map<IncomingMessage, number>();
  for (const { request, result } of bodies) {
    void result.then(({ kind }) => {
      if (kind !== "too many pieces") return;
      refused.set(request, request.socket.bytesRead);
    });
  }
  for (const { socket } of bodies) socket.write(TINY_CHUNKS);
  while (refused.size < bodies.length - 1) await sleep(5);
  await Promise.all(
    [...refused.keys()].map((request) => reader.discard(request, MAX_BODY)),
  );
  expect([...refused.keys()].map(({ socket }) => socket.bytesRead))
    .toEqual([...refused.values()]);
  const kept = bodies.find(({ request }) => !refused.has(request));
  kept?.socket.write("0\r\n\r\n");
  expect(kept && bytesOf(await kept.result).length).toEqual(TINY_PIECES);
});

// Guards against the rest of a refused body in tiny pieces that is read in full.
test("the rest of a refused body in tiny pieces is not read", async (t) => {
  const { memory, reader, open } = await setUp(t, { limit: 1e8 });
  memory.tryTake(1e8);
  const { socket, request, result } = await open(CHUNKED);
  for (let at = 0; at < 10; at += 1) socket.write(TINY_CHUNKS);
  expect(await result).toEqual({ kind: "no room" });
  const before = request.socket.bytesRead;
  await reader.discard(request, 100 * MAX_BODY);
  const read = request.socket.bytesRead - before;
  expect(read < TINY_CHUNKS.length / 2).toEqual(true);
});
