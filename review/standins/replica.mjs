// A replica that registers itself, writes its heartbeat and answers requests.
import { createServer } from "node:http";
import { once } from "node:events";
import { MODEL } from "./operator.mjs";
import { readBody, takeHost } from "./net.mjs";

const HEARTBEAT_MS = 1_200;

/**
 * `respond` gets each request that the replica may run. Reports, orders, cache
 * events and the checks of `Expect-Instance` and `Expect-Version` are answered
 * here.
 */
export async function startReplica(store, options) {
  const { id, service, zone = "espoo", isEngine = false, respond } = options;
  const { slots = 64, queue = 8 } = options;
  const born = Date.now();
  let writes = 0;
  let heartbeat;
  /** Second copies of answers, by channel. */
  const extras = new Map();
  /** Requests that wait for a slot. */
  const waiting = [];
  const self = {
    ...{
      id,
      version: 1,
      seq: 0,
      busy: false,
      running: 0,
      answers: 0,
      isLeaving: false,
    },
  };

  const models = () =>
    isEngine ? [{ name: MODEL, version: self.version, adapters: [] }] : [];

  function writeEntry() {
    writes += 1;
    store.put("servers", id, {
      ...{ service, address: self.address, zone, version: "v1", slots },
      ...{
        state: "ready",
        cold_remaining_ms: 0,
        seq: writes,
        born,
        models: models(),
      },
    });
  }

  function sendJson(response, status, body = {}) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({ ...body, born }));
  }

  const headersOf = (request) => ({
    "Request-Id": request.headers["request-id"] ?? "",
    "Replica-Load": `${self.running},${waiting.length},${slots}`,
    ...isEngine ? { "Weight-Versions": String(self.version) } : {},
    ...self.isLeaving ? { "Server-Leaving": "1" } : {},
  });

  function refuse(request, response, status) {
    const headers = {
      ...headersOf(request),
      ...{ "Not-Executed": "1", "Content-Length": "0" },
    };
    response.writeHead(status, headers).end();
    if (options.repeatsRefusal?.(status, self) !== true) return;
    const lines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    extras.set(
      request.socket,
      `HTTP/1.1 ${status} Refused\r\n${lines.join("")}\r\n`,
    );
  }

  /** Waits for a slot; returns false when the queue is full as well. */
  async function takeSlot() {
    if (self.running >= slots) {
      if (waiting.length >= queue) return false;
      await new Promise((resolve) => waiting.push(resolve));
    }
    self.running += 1;
    return true;
  }

  function giveSlot() {
    self.running -= 1;
    waiting.shift()?.();
  }

  /** Sends the second copy of an answer where the next one is expected. */
  function sendExtra({ socket, headers }) {
    const extra = extras.get(socket);
    if (extra === undefined) return;
    extras.delete(socket);
    socket.write(extra);
    options.onExtra?.(headers["request-id"], self);
  }

  async function handle(request, response) {
    const body = await readBody(request);
    const { headers } = request;
    const path = request.url.split("?")[0];
    if (path === "/healthz") {
      response.writeHead(200, { "Replica-Id": id }).end();
      return;
    }
    const expected = headers["expect-instance"];
    const isOther = expected !== undefined && expected !== id;
    if (path === "/peridotvalve/report") {
      if (isOther) return refuse(request, response, 421);
      const { busy, seq, running } = self;
      return sendJson(response, 200, {
        ...{ stage: "colocated", models: models(), busy, seq, running },
        ...{ waiting: waiting.length, kv_used: 0, kv_total: 165_933 },
        handles: 0,
      });
    }
    if (path === "/peridotvalve/order") {
      if (isOther) return refuse(request, response, 421);
      return await options.order(
        JSON.parse(body),
        (status) => sendJson(response, status),
        self,
      );
    }
    if (path === "/peridotvalve/kv-events") {
      const wait = Math.min(1_000, Number(headers["wait-ms"] ?? 0));
      const since = Number(new URL(request.url, "http://r").searchParams
        .get("since"));
      const page = await options.events?.(since, wait) ??
        await new Promise((resolve) =>
          setTimeout(resolve, wait, { next: 0, events: [] })
        );
      return sendJson(response, 200, {
        ...{ boot_epoch: born, lost: false, clock_ms: Date.now() },
        ...page,
      });
    }
    sendExtra(request);
    self.answers += 1;
    if (isOther) return refuse(request, response, 421);
    const weights = headers["expect-version"];
    if (weights !== undefined && Number(weights) !== self.version) {
      return refuse(request, response, 421);
    }
    // A request that an order concerns does not start before its end.
    if (self.busy || !await takeSlot()) return refuse(request, response, 503);
    try {
      if (response.destroyed) return;
      const answer = {
        ...headersOf(request),
        "Response-Seal": `seal.${id}.${headers["request-id"]}`,
      };
      await respond({ request, response, body, self, headers: answer });
    } finally {
      giveSlot();
    }
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 10_000;
  const host = takeHost();
  server.listen(0, host);
  await once(server, "listening");
  self.address = `${host}:${server.address().port}`;
  writeEntry();
  heartbeat = setInterval(writeEntry, HEARTBEAT_MS);

  return Object.assign(self, {
    /** Leaves without a report: the entry is removed; the replica serves on. */
    unlist() {
      clearInterval(heartbeat);
      store.remove("servers", id);
      self.isLeaving = true;
    },
    close() {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  });
}
