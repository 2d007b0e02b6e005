/**
 * Settlement of calls for each way in which an HTTP exchange can end, against
 * servers that misbehave.
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
// For calls that must end before their deadline, even on a busy machine.
const TIMEOUT = 10_000;
// For calls that always miss their deadline.
const SHORT_TIMEOUT = 300;
const COMMIT = JSON.stringify({
  versions: [{ table: "t", key: "k", version: 1 }],
});

interface TestServer {
  readonly platform: HttpPlatform;
  readonly origin: string;
  /** The connection of each request that arrived complete. */
  readonly received: readonly Socket[];
}

async function withServer(
  respond: RequestListener,
  body: (server: TestServer) => Promise<void>,
  connections = 16,
): Promise<void> {
  const received: Socket[] = [];
  const server = createServer(async (request, response) => {
    await buffer(request);
    received.push(request.socket);
    respond(request, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const origin = `http://127.0.0.1:${port}`;
  const platform = createHttpPlatform({ address: origin, connections });
  try {
    await body({ platform, origin, received });
  } finally {
    await platform.close();
    server.closeAllConnections();
    server.close();
  }
}

const CONFLICT = JSON.stringify({
  conflicts: [{ table: "t", key: "k", version: 3, value: null }],
});
const RESPONSES = [
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

test("each status gives the settlement that it guarantees", async () => {
  for (const { status, body, kind } of RESPONSES) {
    await withServer((_request, response) => {
      response.writeHead(status).end(body);
    }, async ({ platform, received }) => {
      const settlement = await platform.transact(TRANSACTION, TIMEOUT);
      expect([status, body, settlement.kind]).toEqual([status, body, kind]);
      expect(received.length).toEqual(1);
    });
  }
});

test("a refused connection settles as not done", async () => {
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

test("a reset after the request settles as unknown without a retry", async () => {
  await withServer((request) => {
    request.socket.resetAndDestroy();
  }, async ({ platform, received }) => {
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
    const object = { name: "o", content: "x" };
    expect((await platform.putObject(object, TIMEOUT)).kind)
      .toEqual("unknown");
    const row = await platform.readRow({ table: "t", key: "k" }, TIMEOUT);
    expect(row.isErr()).toEqual(true);
    expect(received.length).toEqual(3);
  });
});

test("a truncated response settles as unknown", async () => {
  await withServer((_request, response) => {
    response.writeHead(200, { "content-length": COMMIT.length });
    response.write(COMMIT.slice(0, 10), () => response.destroy());
  }, async ({ platform }) => {
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
  });
});

test("a missed deadline settles as unknown and closes the connection", async () => {
  let isSilent = true;
  await withServer((_request, response) => {
    if (!isSilent) response.end(COMMIT);
  }, async ({ platform, received }) => {
    const settlement = await platform.transact(TRANSACTION, SHORT_TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
    isSilent = false;
    const next = await platform.transact(TRANSACTION, TIMEOUT);
    expect(next.kind).toEqual("done");
    expect(received[0] === received[1]).toEqual(false);
    const signal = AbortSignal.timeout(TIMEOUT);
    if (!received[0]!.destroyed) await once(received[0]!, "close", { signal });
  });
});

test("a command that gets no free connection settles as not done", async () => {
  await withServer(() => {}, async ({ platform, received }) => {
    const kinds = await Promise.all([
      platform.transact(TRANSACTION, 3 * SHORT_TIMEOUT),
      platform.transact(TRANSACTION, SHORT_TIMEOUT),
    ].map(async (settling) => (await settling).kind));
    expect(kinds).toEqual(["unknown", "not done"]);
    // The dropped command must not be sent once the connection is free.
    await new Promise((resolve) => setTimeout(resolve, SHORT_TIMEOUT));
    expect(received.length).toEqual(1);
  }, 1);
});

test("a response over the size limit settles as unknown", async () => {
  await withServer((_request, response) => {
    response.end("x".repeat(2_000));
  }, async ({ origin }) => {
    const address = origin;
    const platform = createHttpPlatform({ address, maxResponseBytes: 1_000 });
    const settlement = await platform.transact(TRANSACTION, TIMEOUT);
    expect(settlement.kind).toEqual("unknown");
    await platform.close();
  });
});

// Guards against a daemon that stops following the list of VMs, as one of its
// entries is malformed.
test("an odd entry in the list of VMs costs no other", async () => {
  const vm = {
    ...{ name: "espoo-1", address: "10.0.0.1:7700", zone: "espoo" },
    ...{ state: "live", incarnation: "i-1" },
  };
  const entries = [null, vm, { ...vm, state: "gone" }, { ...vm, address: 7 }];
  const texts = entries.map((entry) => JSON.stringify(entry));
  const nested = "[".repeat(20_000) + "]".repeat(20_000);
  const body = `{"at":5,"vms":[${[...texts, nested].join()}]}`;
  await withServer(
    (_, response) => response.end(body),
    async ({ platform }) => {
      const list = (await platform.readVms(TIMEOUT)).unwrap();
      expect(list.vms.map(({ name }) => name)).toEqual(["espoo-1"]);
      expect(list.malformed).toEqual(4);
    },
  );
});
