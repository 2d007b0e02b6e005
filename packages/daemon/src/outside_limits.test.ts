import { expect } from "earl";
import { chmodSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, before, test, type TestContext } from "node:test";
import {
  buildBinary,
  type Crowd,
  type Deployment,
  measureUsage,
  openCrowd,
  type Process,
  startDeployment,
  watchUsage,
  writeRepeatedly,
} from "@peridotvalve/testbed";
import { until } from "./lifecycle/testing.ts";

// Guards against callers that end a daemon or take it out of service: memory
// that grows with what they send until the VM has no more, and descriptors
// that run out. The crowds and the bounds are fixed; they must not be changed to
// let a version of the daemon pass.

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const MEGABYTE = 1_000_000;

const DAEMON = "espoo-1";
const MODEL = "shop-app";
const SERVICES = ["bookings-1", "bookings-2"] as const;

/** Memory of the VM; an idle daemon has 135 MB. */
const VM_MEGABYTES = 350;
const MAX_DESCRIPTORS = 300;

/** Limit of the heap: V8 takes half of the memory of a VM. */
const HEAP_MEGABYTES = 175;

/** The default of `limits.requestBytes`. */
const MAX_BODY = 4 * MEBIBYTE;

/** Bodies of the limit that exceed the memory of the VM. */
const BODIES = 100;

const PIECE = 16 * KIBIBYTE;
const PIECE_PERIOD = 20;

const ANSWER_LIMIT_MILLISECONDS = 30_000;

/** Descriptors that may stay open after a crowd: connections to upstreams. */
const SPARE_DESCRIPTORS = 30;

/** Customers with a rate that lets the crowd in. */
const CUSTOMERS = ["turku-kennels", "pet-shops-uusimaa", "coat-club"] as const;
const ORDINARY_CUSTOMER = "oulu-dog-shop";

const ORDER_PATH = "/services/bookings/orders";
const CHAT_PATH = "/v1/chat/completions";

const CHUNKED = "transfer-encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";
const lengthOf = (bytes: number) => `content-length: ${bytes}`;

const filler = Buffer.alloc(MAX_BODY, "x");
const largeChunk = Buffer.concat([
  Buffer.from("10000\r\n"),
  Buffer.alloc(64 * KIBIBYTE, "x"),
  Buffer.from("\r\n"),
]);
const smallChunks = Buffer.from("1\r\nx\r\n".repeat(64 * KIBIBYTE));

/** A chat request of the limit. */
function composeChat(): Buffer {
  const around = JSON.stringify({
    ...{ model: MODEL, max_tokens: 1 },
    messages: [{ role: "user", content: "" }],
  });
  const at = around.lastIndexOf('""') + 1;
  return Buffer.from(
    around.slice(0, at) + "x".repeat(MAX_BODY - around.length) +
      around.slice(at),
  );
}

const chat = composeChat();

let folder = "";
let deployment: Deployment;
let requestCount = 0;

/** Writes a program that runs the product with the heap of the VM. */
function writeProgram(): string {
  const bundle = join(dirname(buildBinary()), "peridotvalve.cjs");
  const file = join(folder, "peridotvalve");
  const heap = `--max-old-space-size=${HEAP_MEGABYTES}`;
  const text = `#!/bin/sh\nexec ${process.execPath} ${heap} ${bundle} "$@"\n`;
  writeFileSync(file, text);
  chmodSync(file, 0o755);
  return file;
}

function edit(text: string, file: string): string {
  if (!file.endsWith(`${DAEMON}.yaml`)) return text;
  return text.replace(/balancerDelay: \d+/, "balancerDelay: 200") +
    `vm:\n  memory: ${VM_MEGABYTES * MEGABYTE}\n` +
    `  descriptors: ${MAX_DESCRIPTORS}\n`;
}

before(async () => {
  folder = mkdtempSync(join(tmpdir(), "peridotvalve-limits-"));
  deployment = await startDeployment({
    ...{ example: "examples/koiratakki", groups: [MODEL], daemons: [DAEMON] },
    ...{ binary: writeProgram(), edit },
  });
});

after(async () => {
  await deployment.stop();
  rmSync(deployment.root, { recursive: true, force: true });
  rmSync(folder, { recursive: true, force: true });
});

type Listener = "callers" | "peers" | "operators";

function addressOf(listener: Listener = "callers"): string {
  return deployment.settings.get(DAEMON)?.listeners[listener] ?? "";
}

interface Head {
  readonly framing: string;
  readonly path?: string;
  readonly key?: string;
}

/** The head of a request with a key and an order of its own. */
function composeHead({ framing, path = ORDER_PATH, key }: Head): string {
  requestCount += 1;
  const customer = CUSTOMERS[requestCount % CUSTOMERS.length] ?? "";
  return `POST ${path} HTTP/1.1\r\nhost: daemon\r\n` +
    `authorization: Bearer ${key ?? deployment.keys[customer]}\r\n` +
    `idempotency-key: crowd-${requestCount}\r\n` +
    `x-peridotvalve-patience-ms: 600000\r\n${framing}\r\n\r\n`;
}

/** Writes a body in pieces of their own, whatever the daemon reads. */
function writeInPieces(socket: Socket, bytes: number): void {
  let left = bytes;
  const timer = setInterval(() => {
    const piece = filler.subarray(0, Math.min(PIECE, left));
    left -= piece.length;
    if (socket.writable) socket.write(piece);
    if (left === 0) clearInterval(timer);
  }, PIECE_PERIOD);
  socket.once("close", () => clearInterval(timer));
}

interface Sending extends Partial<Head> {
  readonly size: number;
  readonly listener?: Listener;
  /** Writes the body. */
  readonly write: (socket: Socket, at: number) => void;
}

function sendBodies(
  { size, listener, write, framing = lengthOf(MAX_BODY), ...head }: Sending,
): Crowd {
  return openCrowd({
    address: addressOf(listener),
    size,
    act(socket, at) {
      socket.write(composeHead({ framing, ...head }));
      write(socket, at);
    },
  });
}

function sendSmallChunks(size: number, blocks: number): Crowd {
  return sendBodies({
    ...{ size, framing: CHUNKED },
    write: (socket) => void writeRepeatedly(socket, smallChunks, blocks),
  });
}

const writeMost = (socket: Socket) => void socket.write(filler.subarray(1));
const writeWhole = (socket: Socket) => void socket.write(filler);
const writeFarOver = (socket: Socket) =>
  void writeRepeatedly(socket, largeChunk, 512);

const sendWhole = () => sendBodies({ size: BODIES, write: writeWhole });

const CROWDS: Readonly<Record<string, () => Crowd>> = {
  "bodies by length that stop short": () =>
    sendBodies({ size: BODIES, write: writeMost }),
  "bodies by length in pieces that stop short": () =>
    sendBodies({
      size: BODIES,
      write: (socket) => writeInPieces(socket, MAX_BODY - 1),
    }),
  "bodies by length of which one in five is complete": () =>
    sendBodies({
      size: BODIES,
      write: (socket, at) => (at % 5 === 0 ? writeWhole : writeMost)(socket),
    }),
  "complete bodies that no service answers": sendWhole,
  "complete chat requests": () =>
    sendBodies({
      ...{ size: BODIES, path: CHAT_PATH },
      write: (socket) => void socket.write(chat),
    }),
  "bodies in large chunks that stop short": () =>
    sendBodies({
      ...{ size: BODIES, framing: CHUNKED },
      write: (socket) =>
        void writeRepeatedly(socket, largeChunk, MAX_BODY / 65_536 - 1),
    }),
  "bodies in chunks of one byte that stop short": () => sendSmallChunks(12, 8),
  "bodies in chunks of one byte from many connections": () =>
    sendSmallChunks(BODIES, 1),
  "bodies announced far over the limit": () =>
    sendBodies({
      ...{ size: 30, framing: lengthOf(1_024 * MEBIBYTE) },
      write: (socket) => void writeRepeatedly(socket, filler, 8),
    }),
  "bodies far over the limit in chunks": () =>
    sendBodies({ size: 30, framing: CHUNKED, write: writeFarOver }),
  "bodies far over the limit without a key": () =>
    sendBodies({ size: 30, framing: CHUNKED, key: "x", write: writeFarOver }),
  "short bodies that stop short on many connections": () =>
    sendBodies({
      ...{ size: 600, framing: lengthOf(PIECE) },
      write: (socket) => void socket.write(filler.subarray(0, PIECE - 1)),
    }),
  "bodies to the port for peers": () =>
    sendBodies({
      ...{ size: 400, path: "/rpc", listener: "peers" },
      write: (socket) => void socket.write(filler.subarray(0, PIECE)),
    }),
  "bodies to the port for operators": () =>
    sendBodies({
      ...{ size: 400, path: "/configuration", listener: "operators" },
      write: (socket) => void socket.write(filler.subarray(0, PIECE)),
    }),
};

async function setFaults(faults: unknown): Promise<void> {
  for (const name of SERVICES) await deployment.setFaults(name, faults);
}

/** Starts the daemon anew, so that no earlier test has grown its memory. */
async function restartDaemon(): Promise<Process> {
  await setFaults({ silent: true, hangAfterEffect: false });
  await deployment.processes.get(DAEMON)?.kill();
  const daemon = await deployment.restart(DAEMON);
  await askOrdinary();
  return daemon;
}

/** Resolves when the daemon has answered an ordinary request. */
async function askOrdinary(): Promise<void> {
  const url = `http://${addressOf()}/services/stock/stock/harness`;
  const authorization = `Bearer ${deployment.keys[ORDINARY_CUSTOMER]}`;
  await until(
    "an ordinary request is answered",
    async () => {
      try {
        const signal = AbortSignal.timeout(ANSWER_LIMIT_MILLISECONDS);
        const answer = await fetch(url, { headers: { authorization }, signal });
        const text = await answer.text();
        return text === JSON.stringify({ item: "harness", stock: 7 });
      } catch {
        return false;
      }
    },
    ANSWER_LIMIT_MILLISECONDS,
  );
}

/** Lets a crowd act and checks the daemon during and after it. */
async function check(t: TestContext, open: () => Crowd): Promise<void> {
  const daemon = await restartDaemon();
  const earlier = measureUsage(daemon, addressOf());
  const usage = watchUsage(daemon, addressOf());
  t.after(() => usage.stop());
  const crowd = open();
  t.after(() => crowd.close());
  t.after(() => {
    const { memory, descriptors } = usage.peak();
    const used = Math.round(memory / MEGABYTE);
    const state = daemon.isRunning() ? "runs" : "has ended";
    t.diagnostic(`${used} MB, ${descriptors} descriptors, ${state}`);
  });
  await crowd.settle();
  expect(daemon.isRunning()).toEqual(true);
  await askOrdinary();
  crowd.close();
  await until(
    "the descriptors fall back",
    () =>
      measureUsage(daemon, addressOf()).descriptors <=
        earlier.descriptors + SPARE_DESCRIPTORS,
  );
  await askOrdinary();
  expect(daemon.isRunning()).toEqual(true);
  const { memory, descriptors } = usage.peak();
  expect(memory <= VM_MEGABYTES * MEGABYTE).toEqual(true);
  expect(descriptors <= MAX_DESCRIPTORS).toEqual(true);
}

for (const [name, open] of Object.entries(CROWDS)) {
  test(`a daemon outlasts ${name}`, (t) => check(t, open));
}

interface RecordedCall {
  readonly idempotencyKey: string | null;
}

async function listKeys(): Promise<ReadonlySet<string | null>> {
  const lists = await Promise.all(SERVICES.map(async (name) => {
    const url = `http://${deployment.addressOf(name)}/control/calls`;
    const { calls } = await (await fetch(url)).json() as {
      readonly calls: readonly RecordedCall[];
    };
    return calls.map(({ idempotencyKey }) => idempotencyKey);
  }));
  return new Set(lists.flat());
}

// Guards against refusals that do not say when to repeat, and against refused
// orders that a service got.
test("an order that is refused in a crowd has not run", async (t) => {
  await restartDaemon();
  await setFaults({ silent: false, hangAfterEffect: true });
  const first = requestCount + 1;
  const crowd = sendWhole();
  t.after(() => crowd.close());
  await crowd.settle();
  const keys = await listKeys();
  const refused = crowd.received().flatMap((text, at) =>
    text.startsWith("HTTP/1.1 503")
      ? [{ text, key: `crowd-${first + at}` }]
      : []
  );
  t.diagnostic(`${refused.length} of ${BODIES} refused with 503`);
  expect(refused.length > 0).toEqual(true);
  for (const { text, key } of refused) {
    expect([key, keys.has(key)]).toEqual([key, false]);
    expect(/^retry-after: [1-9]/im.test(text)).toEqual(true);
    expect(/"ran":"no"/.test(text)).toEqual(true);
    expect(/"retry_after_ms":[1-9]/.test(text)).toEqual(true);
  }
});

/** Sends one complete body and resolves with the status line. */
async function sendOne(
  t: TestContext,
  sending: Omit<Sending, "size">,
): Promise<string> {
  const crowd = sendBodies({ size: 1, ...sending });
  t.after(() => crowd.close());
  const status = () => crowd.received()[0]?.split("\r\n")[0] ?? "";
  await until("the body is answered", () => status() !== "", 60_000);
  return status();
}

/** Sends a complete body in blocks of 64 KiB. */
function sendChunks(block: Buffer, bytes: number): Omit<Sending, "size"> {
  const times = bytes / (64 * KIBIBYTE);
  return {
    framing: CHUNKED,
    write: (socket) =>
      void writeRepeatedly(socket, block, times)
        .then(() => socket.write(LAST_CHUNK)),
  };
}

const CALM: Readonly<Record<string, Omit<Sending, "size">>> = {
  "by length": { write: writeWhole },
  "in pieces": { write: (socket) => writeInPieces(socket, MAX_BODY) },
  "in large chunks": sendChunks(largeChunk, MAX_BODY),
  // 4 MiB would take 20 to 30 s of processor time, near `bodyTimeout`.
  "in chunks of one byte": sendChunks(smallChunks, 256 * KIBIBYTE),
};

// Guards against limits that a single caller of the allowed size meets.
for (const [name, sending] of Object.entries(CALM)) {
  test(`one order ${name} is served in calm`, async (t) => {
    const daemon = await restartDaemon();
    const usage = watchUsage(daemon, addressOf());
    t.after(() => usage.stop());
    await setFaults({ silent: false });
    expect(await sendOne(t, sending)).toEqual("HTTP/1.1 201 Created");
    expect(usage.peak().memory <= VM_MEGABYTES * MEGABYTE).toEqual(true);
  });
}

// The engine needs longer for its prompt than `firstTokenTimeout`, so 504 says
// that it was let in.
test("a chat request of the limit is let in in calm", async (t) => {
  const daemon = await restartDaemon();
  const usage = watchUsage(daemon, addressOf());
  t.after(() => usage.stop());
  const status = await sendOne(t, {
    path: CHAT_PATH,
    write: (socket) => void socket.write(chat),
  });
  t.diagnostic(`${status}, ${Math.round(usage.peak().memory / MEGABYTE)} MB`);
  expect(status).toEqual("HTTP/1.1 504 Gateway Timeout");
  expect(usage.peak().memory <= VM_MEGABYTES * MEGABYTE).toEqual(true);
});
