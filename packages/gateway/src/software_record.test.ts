import { createManualClock } from "@peridotvalve/clock";
import { EventLogger } from "@peridotvalve/events";
import { type Json, type Platform, toVersion } from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { Ok } from "ts-results-es";
import { createSoftwareRecords } from "./software_record.ts";

const ERA = 1;

const silentLogger = new (class extends EventLogger {
  override log(): void {}
})();

/** A store in memory that counts its calls. */
function createStore({ pageSize = 500 } = {}) {
  const rows = new Map<string, { value: Json; version: number }>();
  let counter = 0;
  const calls = { reads: 0 };
  const rowOf = (table: string, key: string) => {
    const row = rows.get(key);
    return row && { table, key, ...row };
  };
  const store: Pick<Platform, "readRow" | "readRows" | "transact"> = {
    readRow({ table, key }) {
      calls.reads += 1;
      return Promise.resolve(Ok(rowOf(table, key)));
    },
    readRows({ table, limit }) {
      calls.reads += 1;
      const keys = [...rows.keys()].sort();
      const page = keys.slice(0, Math.min(limit, pageSize));
      const found = page.flatMap((key) => rowOf(table, key) ?? []);
      return Promise.resolve(Ok({
        rows: found,
        more: page.length < keys.length,
      }));
    },
    transact({ checks, writes }) {
      const holds = checks.every(({ key, version }) =>
        (rows.get(key)?.version ?? 0) === version
      );
      if (!holds) {
        const reason = { kind: "conflict", rows: [] } as const;
        return Promise.resolve({ kind: "not done", reason });
      }
      counter += 1;
      for (const { key, value } of writes) {
        rows.set(key, { value, version: toVersion(ERA, counter) });
      }
      return Promise.resolve({ kind: "done", value: { versions: [] } });
    },
  };
  return { store, calls };
}

type Store = ReturnType<typeof createStore>;

/** Lets a daemon keep the records of services for 25 s. */
async function keepRecords({ store }: Store, services: readonly string[]) {
  const clock = createManualClock();
  const stop = new AbortController();
  const software = createSoftwareRecords({
    ...{ clock, suspendAwareClock: clock, logger: silentLogger, store },
    ...{ name: "front", lifetime: 30_000 },
    storeEra: { current: () => ERA },
    random: () => 0,
    services: () => services,
    versionsOf: () => new Set(["v1"]),
    isRemover: () => true,
  });
  void software.run(stop.signal);
  for (let time = 0; time < 25_000; time += 50) await clock.advance(50);
  stop.abort();
  return software;
}

const listServices = (count: number) =>
  Array.from({ length: count }, (_, index) => `llm-${index}`);

// Guards against calls to the store that grow with daemons times services.
test("records of many services are read together", async () => {
  const one = createStore();
  await keepRecords(one, listServices(1));
  const ten = createStore();
  await keepRecords(ten, listServices(10));
  expect(ten.calls).toEqual(one.calls);
});

// Guards against records that count as absent because a page does not hold them.
test("records beyond the first page are read too", async () => {
  const services = listServices(4);
  const software = await keepRecords(createStore({ pageSize: 3 }), services);
  const states = services.map((service) => software.stateOf(service, "v1"));
  expect(states).toEqual(services.map(() => "recorded"));
  expect(services.some(software.isMixed)).toEqual(false);
});
