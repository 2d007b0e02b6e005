// Stand-in for the platform's store: rows, transactions and feeds over HTTP.
import { createServer } from "node:http";
import { once } from "node:events";
import { readBody, takeHost } from "./net.mjs";

export async function startStore() {
  const rows = new Map();
  const feeds = new Set();
  const started = performance.now();
  let version = 0;

  const idOf = ({ table, part = "", key }) =>
    JSON.stringify([table, part, key]);

  function apply({ writes = [], remove = [] }) {
    version += 1;
    for (const { table, part = "", key, value } of writes) {
      rows.set(idOf({ table, part, key }), {
        ...{ table, part, key, value },
        ver: version,
      });
    }
    for (const { table, part = "", key } of remove) {
      const tombstone = { table, part, key, ver: version, tombstone: true };
      rows.set(idOf({ table, part, key }), tombstone);
    }
    for (const respond of [...feeds]) respond(false);
    return version;
  }

  function currentVersion(row) {
    const known = rows.get(idOf(row));
    return known === undefined || known.tombstone ? 0 : known.ver;
  }

  function send(response, status, body) {
    const now_ms = Math.round(performance.now() - started);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({ ...body, ver: version, now_ms }));
  }

  function feed(url, response) {
    const table = url.searchParams.get("table");
    const after = Number(url.searchParams.get("after"));
    const wait = Number(url.searchParams.get("wait_ms") ?? 0);
    const respond = (isLast) => {
      const changed = [...rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((left, right) => left.ver - right.ver);
      if (changed.length === 0 && !isLast) return;
      clearTimeout(timer);
      feeds.delete(respond);
      send(response, 200, { rows: changed });
    };
    const timer = setTimeout(() => respond(true), wait);
    feeds.add(respond);
    response.on("close", () => {
      clearTimeout(timer);
      feeds.delete(respond);
    });
    respond(false);
  }

  async function handle(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, "http://store");
    const path = url.pathname;
    if (path === "/peridotvalve/rows-tx") {
      const entries = JSON.parse(body);
      const expected = entries.expected_rev ?? [];
      const holds = expected.every((row) => currentVersion(row) === row.ver);
      if (!holds) {
        const present = expected.flatMap((row) => rows.get(idOf(row)) ?? []);
        return send(response, 412, { rows: present });
      }
      apply(entries);
      return send(response, 200, {});
    }
    if (path === "/peridotvalve/rows-get") {
      const table = url.searchParams.get("table");
      const from = url.searchParams.get("from") ?? "";
      const to = url.searchParams.get("to");
      const found = [...rows.values()]
        .filter((row) => row.table === table && !row.tombstone)
        .filter(({ key }) => key >= from && (to === null || key < to))
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return send(response, 200, { rows: found, more_pages: false });
    }
    if (path === "/peridotvalve/rows-feed") return feed(url, response);
    send(response, 404, {});
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  const host = takeHost();
  server.listen(0, host);
  await once(server, "listening");

  return {
    address: `${host}:${server.address().port}`,
    /** Writes a row as the operator or a replica does; returns its version. */
    put(table, key, content) {
      const value = Buffer.from(JSON.stringify(content)).toString("base64");
      return apply({ writes: [{ table, key, value }] });
    },
    remove: (table, key) => apply({ remove: [{ table, key }] }),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
