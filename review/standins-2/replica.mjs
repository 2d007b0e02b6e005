// Stand-in for a replica that may crash: its channels are reset and nothing
// listens, or it falls dark and nothing is answered; some seconds later a new
// incarnation with a new id follows.
import { entry, listen, sleep } from "./deployment.mjs";

export const HEARTBEAT = 1_200;
const RESTART = 2_500;

/**
 * `run(call)` serves a request that names this incarnation. `call.crash()` ends
 * the incarnation. `onCrash(id, request)` is called once for each end.
 */
export async function startReplica(options) {
  const { store, service, zone, slots, model, record, run } = options;
  const { onCrash = () => {} } = options;
  const sockets = new Set();
  let id = "";
  let born = 0;
  let beat;
  let isDown = false;

  function write(seq) {
    const models = model === undefined
      ? []
      : [{ name: model, version: 1, adapters: [] }];
    store.put(
      "servers",
      id,
      entry(id, service, address, { zone, slots, models, seq, born }),
    );
  }

  function begin() {
    id = `i-${Math.random().toString(16).slice(2, 12).padEnd(10, "0")}`;
    born = Date.now();
    isDown = false;
    let seq = 0;
    write(seq);
    beat = setInterval(() => write(seq += 1), HEARTBEAT);
    record(`replica ${id} of ${service} starts at ${address}`);
  }

  function crash(incarnation, request) {
    if (isDown || incarnation !== id) return;
    isDown = true;
    record(`replica ${incarnation} of ${service} crashes on ${request}`);
    onCrash(incarnation, request);
    clearInterval(beat);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
    // The platform drops the entry after three heartbeats of silence.
    setTimeout(() => store.remove("servers", incarnation), 3 * HEARTBEAT);
    const port = Number(address.split(":")[1]);
    setTimeout(() => server.listen(port, "127.0.0.1", begin), RESTART);
  }

  /** Like a machine without power: channels hang until it is back. */
  function fallDark(incarnation, request) {
    if (isDown || incarnation !== id) return;
    isDown = true;
    record(`replica ${incarnation} of ${service} falls dark on ${request}`);
    onCrash(incarnation, request);
    clearInterval(beat);
    for (const socket of sockets) socket.pause();
    setTimeout(() => store.remove("servers", incarnation), 3 * HEARTBEAT);
    setTimeout(() => {
      for (const socket of sockets) socket.resetAndDestroy();
      begin();
    }, RESTART);
  }

  function sendJson(response, body) {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ ...body, born }));
  }

  async function handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (isDown) return;
    const { headers, url } = request;
    if (url === "/peridotvalve/report") {
      return sendJson(response, {
        ...{ stage: "colocated", busy: false, seq: 0, waiting: 0, running: 0 },
        models: [{ name: model, version: 1, adapters: [] }],
        ...{ kv_used: 0, kv_total: 165_933, handles: 0 },
      });
    }
    if (url.startsWith("/peridotvalve/kv-events")) {
      await sleep(Number(headers["wait-ms"] ?? 0));
      const page = { boot_epoch: born, next: 0, lost: false, events: [] };
      return sendJson(response, page);
    }
    const mine = id;
    if (headers["expect-instance"] !== mine) {
      return response.writeHead(421, { "Replica-Id": mine }).end();
    }
    const name = headers["request-id"];
    await run({
      ...{ request, response, headers, name, replica: mine },
      body: Buffer.concat(chunks).toString(),
      answered: {
        "Request-Id": name,
        "Response-Seal": `seal-${mine}-${name}`,
        "Replica-Load": `${sockets.size},0,${slots}`,
        ...(model === undefined ? {} : { "Weight-Versions": "1" }),
      },
      crash: () => crash(mine, name),
      fallDark: () => fallDark(mine, name),
      isDark: () => isDown || mine !== id,
    });
  }

  const { server, address } = await listen((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    if (isDown) socket.pause();
    socket.on("close", () => sockets.delete(socket));
  });
  begin();
}
