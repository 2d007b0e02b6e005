/**
 * How the ends of an HTTP exchange settle, against raw servers that misbehave.
 */
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { buffer } from "node:stream/consumers";
import { test } from "node:test";
import { createHttpPlatform, type HttpPlatform } from "./http_platform.ts";

const TRANSACTION = {
  id: "1",
  checks: [],
  writes: [{ table: "t", key: "k", value: 1 }],
};
// For calls that must end before their deadline, also on a busy machine.
const TIMEOUT = 10_000;
// For calls that miss their deadline in any case.
const SHORT = 300;
const COMMIT = JSON.stringify({
  versions: [{ table: "t", key: "k", version: 1 }],
});

interface Peer {
  readonly platform: HttpPlatform;
  readonly origin: string;
  /** Requests that arrived whole, each with its connection. */
  readonly arrived: readonly Socket[];
}

async function withServer(
  answer: RequestListener,
  body: (peer: Peer) => Promise<void>,
  connections = 16,
): Promise<void> {
  const arrived: Socket[] = [];
  const server = createServer(async (request, response) => {
    await buffer(request);
    arrived.push(request.socket);
    answer(request, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const platform = createHttpPlatform({ address: origin, connections });
  try {
    await body({ platform, origin, arrived });
  } finally {
    await platform.close();
    server.closeAllConnections();
    server.close();
  }
}

const CONFLICT = JSON.stringify({
  conflicts: [{ table: "t", key: "k", version: 3, value: null }],
});
const ANSWERS = [
  { status: 200, body: COMMIT, kind: "done" },
  { status: 200, body: "{}", kind: "unknown" },
  { status: 200, body: "{", kind: "unknown" },
  { status: 200, body: "", kind: "unknown" },
  { status: 409, body: CONFLICT, kind: "not done" },
  { status: 409, body: "{}", kind: "unknown" },
  { status: 429, body: "", kind: "not done" },
  { status: 503, body: "", kind: "not done" },
  { status: 500, body: "", kind: "unknown" },
  { status: 502, body: "", kind: "unknown" },
  { status: 504, body: "", kind: "unknown" },
  { status: 302, body: "", kind: "unknown" },
] as const;

test("each status settles a transaction by what it promises", async () => {
  for (const { status, body, kind } of ANSWERS) {
    await withServer((_request, response) => {
      response.writeHead(status).end(body);
    }, async ({ platform, arrived }) => {
      const settlement = await platform.transact(TRANSACTION, TIMEOUT);
      expect([status, body, settlement.kind]).toEqual([status, body, kind]);
      expect(arrived.length).toEqual(1);
    });
  }
});

test("a refused connection is not done", async () => {
  let address = "";
  await withServer(() => {}, ({ origin }) => {
    address = origin;
    return Promise.resolve();
  });
  const platform = createHttpPlatform({ address });
  const settlement = await platform.transact(TRANSACTION, TIMEOUT);
  expect(settlement.kind).toEqual("not done");
  await platform.close();
});

test("a reset after the request is unknown and not repeated", async () => {
  await withServer((request) => {
    request.socket.resetAndDestroy();
  }, async ({ platform, arrived }) => {
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
    const object = { name: "o", content: "x" };
    expect((await platform.putObject(object, TIMEOUT)).kind)
      .toEqual("unknown");
    const row = await platform.readRow({ table: "t", key: "k" }, TIMEOUT);
    expect(row.isErr()).toEqual(true);
    expect(arrived.length).toEqual(3);
  });
});

test("an answer that breaks off is unknown", async () => {
  await withServer((_request, response) => {
    response.writeHead(200, { "content-length": COMMIT.length });
    response.write(COMMIT.slice(0, 10), () => response.destroy());
  }, async ({ platform }) => {
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
  });
});

test("a missed deadline is unknown and its connection is closed", async () => {
  let isSilent = true;
  await withServer((_request, response) => {
    if (!isSilent) response.end(COMMIT);
  }, async ({ platform, arrived }) => {
    const settlement = await platform.transact(TRANSACTION, SHORT);
    expect(settlement.kind).toEqual("unknown");
    isSilent = false;
    const next = await platform.transact(TRANSACTION, TIMEOUT);
    expect(next.kind).toEqual("done");
    expect(arrived[0] === arrived[1]).toEqual(false);
    const signal = AbortSignal.timeout(TIMEOUT);
    if (!arrived[0]!.destroyed) await once(arrived[0]!, "close", { signal });
  });
});

test("a command that found no free connection is not done", async () => {
  await withServer(() => {}, async ({ platform, arrived }) => {
    const kinds = await Promise.all([
      platform.transact(TRANSACTION, 3 * SHORT),
      platform.transact(TRANSACTION, SHORT),
    ].map(async (settling) => (await settling).kind));
    expect(kinds).toEqual(["unknown", "not done"]);
    // The dropped command must not be sent once the connection is free.
    await new Promise((resolve) => setTimeout(resolve, SHORT));
    expect(arrived.length).toEqual(1);
  }, 1);
});

test("an answer over the size limit is unknown", async () => {
  await withServer((_request, response) => {
    response.end("x".repeat(2_000));
  }, async ({ origin }) => {
    const address = origin;
    const platform = createHttpPlatform({ address, maxAnswerBytes: 1_000 });
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
    await platform.close();
  });
});
