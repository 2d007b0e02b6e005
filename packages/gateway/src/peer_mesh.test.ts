import { createReplicaContact } from "@peridotvalve/admission";
import { createStatements } from "@peridotvalve/backpressure";
import { createManualClock, type ManualClock } from "@peridotvalve/clock";
import {
  createCacheJournal,
  createCacheView,
  createReplicaTable,
  createStoreCopies,
} from "@peridotvalve/dispatch";
import { EventLogger } from "@peridotvalve/events";
import { createLoadView } from "@peridotvalve/load";
import { createMemoryNetwork } from "@peridotvalve/membership";
import { createCrashEvidence } from "@peridotvalve/retries";
import {
  type Changes,
  createStoreEra,
  eraOf,
  type FeedRow,
  type HistoryLost,
  type Snapshot,
  TableFeed,
  toVersion,
  type Unavailable,
} from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results-es";
import type { PeerClient } from "./peer_calls.ts";
import { createPeerMesh } from "./peer_mesh.ts";
import { type PeerAddress, Registration } from "./registration.ts";
import { createSentPartsQueue } from "./sent_parts.ts";
import { createTableFollower, type TableFollower } from "./table_follower.ts";

const TABLE = "op";
const STORE = "10.9.0.1:80";
const SALT = "m@1";
const ZONES = ["espoo", "vaasa"];

/** Time within which a state must be in force. */
const CONFIGURATION_LIMIT = 2_500;

const silentLogger = new (class extends EventLogger {
  override log(): void {}
})();

const EVACUATION = "evacuate/vaasa";

/** A store with one table, whose first row has the version that the test sets. */
function createFeed() {
  const rows = new Map<string, FeedRow>();
  const removals: (readonly [key: string, version: number])[] = [];
  let version = 1;
  let calls = 0;
  const put = (key: string, value: number, next: number) => {
    version = next;
    rows.set(key, { key, value, version });
  };
  put("state", 1, 1);
  const feed = new (class extends TableFeed {
    override snapshot(): Promise<Result<Snapshot, Unavailable>> {
      calls += 1;
      return Promise.resolve(Ok({ rows: [...rows.values()], version }));
    }
    override changes(
      { after }: { readonly after: number },
    ): Promise<Result<Changes, Unavailable | HistoryLost>> {
      calls += 1;
      if (eraOf(after) !== eraOf(version)) {
        return Promise.resolve(Err({ kind: "history lost" }));
      }
      const changed = [...rows.values()].filter((row) => row.version > after);
      const removed = removals.filter(([, at]) => at > after)
        .map(([key]) => key);
      return Promise.resolve(Ok({ rows: changed, removed, version }));
    }
  })();
  return {
    feed,
    put,
    calls: () => calls,
    setVersion: (next: number) => put("state", next, next),
    remove(key: string, next: number) {
      version = next;
      rows.delete(key);
      removals.push([key, next]);
    },
    /** Returns from a copy that holds this state only. */
    restore(value: number, next: number) {
      rows.clear();
      put("state", value, next);
    },
  };
}

/** The last `late` daemons are started by the test. */
function createFleet(perZone: number, { late } = { late: 0 }) {
  const clock = createManualClock(1_700_000_000_000);
  const network = createMemoryNetwork(clock, 1);
  const store = createFeed();
  const peers = ZONES.flatMap((zone, index) =>
    Array.from({ length: perZone }, (_, number): PeerAddress => {
      const host = `10.${index}.0.${number}`;
      return {
        ...{ name: `${zone}-${number}`, zone, host },
        ...{ datagrams: `${host}:7700`, calls: host },
      };
    })
  );
  const followers = new Map<string, TableFollower>();
  /** Names of the daemons whose calls reach nobody; datagrams still pass. */
  const cutCallers = new Set<string>();
  const calls = new (class implements PeerClient {
    readRows(
      address: string,
      { position }: Parameters<PeerClient["readRows"]>[1],
    ): ReturnType<PeerClient["readRows"]> {
      const follower = followers.get(address);
      return Promise.resolve(
        follower === undefined
          ? Err("gone")
          : Ok(follower.changesSince(position)),
      );
    }
    readStore(): ReturnType<PeerClient["readStore"]> {
      return Promise.resolve(Err("not asked in this test"));
    }
    sendStreams = () => Promise.resolve(false);
    close(): void {}
  })();
  /** Names of the only daemons that read the table; all are candidates first. */
  const readers = new Set<string>();
  const start = (peer: PeerAddress) =>
    startDaemon(peer, {
      ...{ clock, network, peers, followers, store, readers },
      calls: {
        readStore: calls.readStore,
        sendStreams: calls.sendStreams,
        close: calls.close,
        readRows: (address, query) =>
          cutCallers.has(peer.name)
            ? Promise.resolve(Err("unreachable"))
            : calls.readRows(address, query),
      },
    });
  const daemons = peers.slice(0, peers.length - late).map(start);
  const waiting = peers.slice(peers.length - late);
  return {
    clock,
    network,
    store,
    daemons,
    cutCallers,
    readers,
    waiting,
    start,
  };
}

function startDaemon(peer: PeerAddress, fleet: {
  readonly clock: ManualClock;
  readonly network: ReturnType<typeof createMemoryNetwork>;
  readonly peers: readonly PeerAddress[];
  readonly followers: Map<string, TableFollower>;
  readonly calls: PeerClient;
  readonly store: ReturnType<typeof createFeed>;
  readonly readers: ReadonlySet<string>;
}) {
  const { clock, peers, followers, calls, store, readers } = fleet;
  const stop = new AbortController();
  const logged: (readonly [name: string, fields: unknown])[] = [];
  const logger = new (class extends EventLogger {
    override log(name: string, fields: unknown): void {
      logged.push([name, fields]);
    }
  })();
  const cache = createCacheView();
  const journal = createCacheJournal({ clock, cache });
  const copies = createStoreCopies({ clock, cache });
  const load = createLoadView(clock);
  const contact = createReplicaContact(clock);
  const crashes = createCrashEvidence({
    clock,
    onCondemned: () => mesh.announce(),
  });
  const statements = createStatements({ clock });
  const replicas = createReplicaTable({ clock, onChange: () => {} });
  replicas.replaceAll(ZONES.map((zone) => ({
    ...{ id: `i-${zone}`, service: "llm", address: "a:80", zone, slots: 8 },
    state: "ready" as const,
    weights: new Map(),
  })));
  const registration = new (class extends Registration {
    override renew = () => {};
    override run = () => Promise.resolve();
    override replaceAll(): void {}
    override applyChanges(): void {}
    override peers = () => peers;
    override find = (name: string) => peers.find((one) => one.name === name);
    override hasHost = (host: string) => peers.some((one) => one.host === host);
    override onChange(listener: (all: readonly PeerAddress[]) => void): void {
      listener(peers);
    }
  })();
  const follower = createTableFollower({
    ...{ clock, logger: silentLogger, feed: store.feed, table: TABLE },
    ...{ wait: 0, pause: 500 },
    mayRead: (age) =>
      readers.size > 0
        ? readers.has(peer.name)
        : mesh.rank("table op") === 0 || age > 2_000,
    progressOf: ({ key, value }) =>
      key === "state" ? [value as number] : undefined,
    keepsMissing: true,
    isHeld: (key) => key === EVACUATION,
    onSnapshot: () => {},
    onChange: () => {},
  });
  followers.set(peer.calls, follower);
  const storeEra = createStoreEra(clock);
  const mesh = createPeerMesh({
    ...{ clock, storeEra, logger, name: peer.name, zone: peer.zone },
    ...{ registration, load, replicas, cache, journal, copies, calls, crashes },
    ...{ statements, contact },
    transport: fleet.network.attach(peer.datagrams),
    tables: new Map([[TABLE, follower]]),
    sentParts: createSentPartsQueue({ cache, isNeeded: () => true }),
    passesStoresOn: () => true,
    busy: () => [],
    takeLoaded: () => [],
    onLoaded: () => {},
    onSilent: () => {},
    onBusy: () => {},
    onChange: () => {},
  });
  void mesh.run(stop.signal);
  void follower.run(stop.signal);
  return {
    ...{ ...peer, mesh, follower, load, cache, journal, copies, crashes },
    ...{ statements, stop, logged, storeEra },
  };
}

async function advance(clock: ManualClock, milliseconds: number) {
  for (let step = 0; step < milliseconds / 50; step += 1) {
    await clock.advance(50);
  }
}

test("a large fleet reads a table once a zone, and everyone has the change", async () => {
  const { clock, store, daemons } = createFleet(10);
  await advance(clock, 5_000);
  const before = store.calls();
  await advance(clock, 10_000);
  // Two readers, each 500 ms.
  expect(store.calls() - before <= 42).toEqual(true);
  store.setVersion(7);
  await advance(clock, 1_500);
  const versions = daemons.map(({ follower }) => follower.contentVersion());
  expect(new Set(versions)).toEqual(new Set([7]));
  for (const { stop } of daemons) stop.abort();
});

// Guards against a zone that keeps an old state when its reader freezes.
test("the next daemon reads when the reader of a zone stops", async () => {
  const { clock, store, daemons } = createFleet(10);
  await advance(clock, 5_000);
  const reader = daemons.find(({ zone, mesh }) =>
    zone === "espoo" && mesh.rank("table op") === 0
  );
  reader?.stop.abort();
  store.setVersion(9);
  await advance(clock, 4_000);
  const versions = daemons.filter((one) => one !== reader)
    .map(({ follower }) => follower.contentVersion());
  expect(new Set(versions)).toEqual(new Set([9]));
  for (const { stop } of daemons) stop.abort();
});

// Guards against CONFIG: a daemon that hears of the reads of its neighbors and
// cannot fetch the rows, as when a link is cut one way, keeps its old state.
test("a daemon that cannot call its neighbors reads the table itself", async () => {
  const { clock, store, daemons, cutCallers } = createFleet(10);
  await advance(clock, 5_000);
  const cut = daemons.find(({ mesh }) => mesh.rank("table op") > 0);
  if (cut === undefined) throw new Error("no daemon that does not read");
  cutCallers.add(cut.name);
  store.setVersion(9);
  await advance(clock, CONFIGURATION_LIMIT);
  expect(cut.follower.contentVersion()).toEqual(9);
  for (const { stop } of daemons) stop.abort();
});

test("load is known in the zone at once and in other zones soon", async () => {
  const { clock, daemons } = createFleet(10);
  await advance(clock, 3_000);
  const [first] = daemons;
  first?.load.trackRequest("i-espoo", { unread: 500, memory: 900 });
  await advance(clock, 700);
  const seenIn = (zone: string) =>
    daemons.filter((one) => one.zone === zone)
      .map(({ load }) => load.totalLoad("i-espoo").requests);
  expect(new Set(seenIn("espoo"))).toEqual(new Set([1]));
  await advance(clock, 3_000);
  expect(new Set(seenIn("vaasa"))).toEqual(new Set([1]));
  for (const { stop } of daemons) stop.abort();
});

test("parts of a followed store reach the neighbors", async () => {
  const { clock, daemons } = createFleet(10);
  await advance(clock, 3_000);
  const follower = daemons.find(({ zone }) => zone === "espoo")!;
  const event = { salt: SALT, part: "p", tokens: 500 };
  follower.copies.recordRead(STORE, 7);
  follower.cache.apply(STORE, event);
  follower.journal.record(STORE, 7, [event]);
  await advance(clock, 1_000);
  const part = { id: "p", tokens: 500 };
  const known = daemons.filter(({ zone, cache }) =>
    zone === "espoo" && cache.hasPart(STORE, SALT, part)
  );
  expect(known.length).toEqual(10);
  for (const { stop } of daemons) stop.abort();
});

// Guards against a part that crashes more replicas because the daemons of
// another zone, or those that missed datagrams, do not hear of its crashes.
test("crashes at daemons of different zones condemn a part everywhere", async () => {
  const { clock, network, daemons } = createFleet(10);
  await advance(clock, 5_000);
  network.setFaults({ loss: 0.3, delay: 20 });
  const [first, second] = daemons;
  const third = daemons.find(({ zone }) => zone === "vaasa");
  for (const [index, daemon] of [first, second, third].entries()) {
    daemon?.crashes.recordLoss({ replica: `i-${index}`, suspects: ["s", "p"] });
    await advance(clock, 300);
    daemon?.mesh.announce();
  }
  daemons.at(-1)?.crashes.recordSuccess(["s"]);
  await advance(clock, 3_000);
  const refusing = daemons.filter(({ crashes }) =>
    crashes.check(["s", "p"])?.suspect === "p"
  );
  expect(refusing.length).toEqual(daemons.length);
  expect(daemons.filter(({ crashes }) => crashes.check(["s"]))).toEqual([]);
  for (const { stop } of daemons) stop.abort();
});

// Guards against the loss of whole heartbeats because of a fault in the news of
// crashes: load, tables and caches were no longer known.
test("malformed news of crashes are logged, and the load beside them is known", async () => {
  const { clock, daemons } = createFleet(2);
  const [sender, receiver] = daemons;
  if (sender === undefined || receiver === undefined) throw new Error();
  sender.crashes.compose = () => ({
    ...{ verdicts: [["p", 0, 1, 65]], records: [], proofs: [] },
  });
  sender.load.trackRequest("i-espoo", { unread: 500, memory: 900 });
  await advance(clock, 3_000);
  expect(receiver.load.totalLoad("i-espoo").requests).toEqual(1);
  const reason = "malformed news of crashes";
  const rejections = receiver.logged.filter(([, fields]) =>
    (fields as { reason?: string }).reason === reason
  );
  expect(rejections.length > 0).toEqual(true);
  for (const { stop } of daemons) stop.abort();
});

// Guards against a limit that only those daemons keep that have heard it.
test("neighbors know the limit that one of them has heard", async () => {
  const { clock, daemons } = createFleet(10);
  await advance(clock, 3_000);
  const replica = { id: "i-espoo" };
  const [first] = daemons;
  if (first === undefined) throw new Error("no daemon");
  first.statements.record(replica, { limit: 9.5 });
  first.mesh.announce();
  await advance(clock, 1_500);
  for (const { name, zone, statements, mesh } of daemons) {
    const limit = statements.find(replica, "limit")?.value;
    const names = daemons.filter((other) => other.zone === zone)
      .map((neighbor) => neighbor.name).sort();
    expect(limit).toEqual(zone === first.zone ? 9.5 : undefined);
    expect(mesh.neighborhood()).toEqual({
      ...{ zone, isWholeFleet: false, fleetShare: 0.5 },
      ...{ members: 10, live: 10, rank: names.indexOf(name) },
    });
  }
  first.statements.record(replica, {});
  await advance(clock, 1_500);
  for (const { statements } of daemons) {
    expect(statements.find(replica, "limit")).toEqual(undefined);
  }
  for (const { stop } of daemons) stop.abort();
});

// Guards against records of streams that wait for the calls to the store of a
// large fleet, and against all of them at one daemon.
test("a few daemons of each zone collect for the others", async () => {
  const { clock, daemons } = createFleet(10);
  await advance(clock, 3_000);
  for (const zone of ZONES) {
    const members = daemons.filter((daemon) => daemon.zone === zone);
    const collectors = members.filter(({ mesh }) =>
      mesh.collector("records") === undefined
    );
    expect(collectors.length).toEqual(2);
    const chosen = members.flatMap(({ mesh }) =>
      mesh.collector("records") ?? []
    );
    expect(chosen.length).toEqual(8);
    const addresses = collectors.map(({ calls }) => calls);
    expect(new Set(chosen)).toEqual(new Set(addresses));
  }
  for (const { stop } of daemons) stop.abort();
});

// Guards against DRAIN after the store returned from a copy: a daemon that does
// not read the list gives missing replicas their time too late.
test("neighbors tell each other that the store has returned", async () => {
  const { clock, daemons } = createFleet(4);
  await advance(clock, 5_000);
  const heard = new Map<string, number>();
  for (const { name, storeEra } of daemons) {
    storeEra.record(1);
    storeEra.onReturn(() => heard.set(name, clock.monotonic()));
  }
  const [reader] = daemons;
  const start = clock.monotonic();
  reader?.storeEra.record(2);
  reader?.mesh.announce();
  await advance(clock, 1_000);
  const zone = daemons.filter((daemon) => daemon.zone === reader?.zone);
  expect(zone.length > 1).toEqual(true);
  for (const { name } of zone) {
    expect((heard.get(name) ?? Infinity) - start < 1_000).toEqual(true);
  }
});

/**
 * Daemons that keep a state and an evacuation which the returned store lacks,
 * and a fresh one that alone reads the table.
 */
async function startAfterReturn() {
  const { waiting: [last], ...fleet } = createFleet(2, { late: 1 });
  const { clock, store, readers, daemons, start } = fleet;
  if (last === undefined) throw new Error("no daemon is left to start");
  store.put("state", 7, toVersion(1, 8));
  store.put(EVACUATION, 0, toVersion(1, 9));
  await advance(clock, 5_000);
  store.restore(4, toVersion(2, 3));
  await advance(clock, 3_000);
  readers.add(last.name);
  await advance(clock, 1_000);
  const stop = () => {
    for (const daemon of [...daemons, fresh]) daemon?.stop.abort();
  };
  const valuesAt = (daemon: typeof daemons[number] | undefined) =>
    new Map(daemon?.follower.rows().map(({ key, value }) => [key, value]));
  let fresh = daemons[0];
  const startFresh = () => fresh = start(last);
  return { clock, store, daemons, startFresh, stop, valuesAt };
}

// Guards against CONFIG: a daemon that was started after the return of the store
// and reads it itself puts the older state of the copy in force.
test("a fresh reader learns what its neighbors keep from before a return", async () => {
  const { clock, store, startFresh, stop, valuesAt } = await startAfterReturn();
  store.put("other", 1, toVersion(2, 5));
  const fresh = startFresh();
  await advance(clock, 4_000);
  expect(valuesAt(fresh)).toEqual(
    new Map([["state", 7], [EVACUATION, 0], ["other", 1]]),
  );
  stop();
});

// Guards against an evacuation that comes back from a neighbor which has not
// read its end.
test("a fresh reader takes no row that was removed after the return", async () => {
  const { clock, store, daemons, startFresh, stop, valuesAt } =
    await startAfterReturn();
  store.remove(EVACUATION, toVersion(2, 5));
  expect(valuesAt(daemons[0]).has(EVACUATION)).toEqual(true);
  const fresh = startFresh();
  const seen = new Set<string>();
  for (let round = 0; round < 80; round += 1) {
    await advance(clock, 50);
    for (const key of valuesAt(fresh).keys()) seen.add(key);
  }
  expect(seen).toEqual(new Set(["state"]));
  expect(valuesAt(fresh)).toEqual(new Map([["state", 7]]));
  for (const daemon of daemons) {
    expect(valuesAt(daemon)).toEqual(new Map([["state", 7]]));
  }
  stop();
});

// Guards against a call for the whole table with each heartbeat.
test("rows that neighbors keep are fetched once", async () => {
  const { clock, startFresh, stop } = await startAfterReturn();
  const fresh = startFresh();
  await advance(clock, 6_000);
  const count = () =>
    fresh?.logged.filter(([name]) => name === "peer_rows_taken").length;
  const before = count();
  await advance(clock, 10_000);
  expect(count()).toEqual(before);
  stop();
});
