import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import {
  answerTo,
  ask,
  eventsOf,
  operate,
  pause,
  until,
} from "../lifecycle/testing.ts";

const CHECKING = "sizing-llm";
const IGNORING = "shop-app";
const DAEMONS = ["espoo-1", "vantaa-1"] as const;
const LEASE_MILLISECONDS = 6_000;
const LOAD_MILLISECONDS = 600;
/** Reports show a load only after further steps of the rollout. */
const REPORT_LAG_MILLISECONDS = 1_200;
const WORKERS = 4;

interface Load {
  readonly version: string;
  readonly fence: number;
  readonly from: number;
  readonly to?: number;
}

let deployment: Deployment;
/** The daemon that gets the callers' requests. */
let front: string = DAEMONS[0];
const inFlight = new Map<string, number>();
const versions: Record<string, string[]> = {};
const wrong: unknown[] = [];
let answered = 0;
let isOver = false;
let changes = 0;

function edit(text: string, file: string): string {
  if (file.includes("/settings/")) {
    return `${text.replace(/balancerDelay: \d+/, "balancerDelay: 200")}
leaseDuration: ${LEASE_MILLISECONDS}
`;
  }
  return text.replaceAll(/requestsPerSecond: \d+/g, "requestsPerSecond: 10000")
    .replace("minimumReady: 5", "minimumReady: 3");
}

function listEngines(group: string): readonly string[] {
  return Object.keys(deployment.configuration.groups[group]?.replicas ?? {});
}

async function readEngine<Value>(name: string, path: string): Promise<Value> {
  const url = `http://${deployment.addressOf(name)}${path}`;
  return await (await fetch(url)).json() as Value;
}

async function listLoads(
  group: string,
): Promise<ReadonlyMap<string, readonly Load[]>> {
  const entries = listEngines(group).map(async (name) => {
    const path = "/control/loads";
    const { loads } = await readEngine<{ loads: readonly Load[] }>(name, path);
    return [name, loads] as const;
  });
  return new Map(await Promise.all(entries));
}

/** Loads that began since the start of the engines. */
async function countLoads(group: string): Promise<number> {
  return [...(await listLoads(group)).values()].flat().length;
}

async function countAllLoads(): Promise<readonly number[]> {
  return [await countLoads(CHECKING), await countLoads(IGNORING)];
}

async function readVersions(group: string): Promise<readonly string[]> {
  const reports = listEngines(group).map((name) =>
    readEngine<{ weights: string; state: string }>(name, "/load")
  );
  return (await Promise.all(reports)).map(({ weights, state }) =>
    state === "ready" ? weights : state
  );
}

async function untilAll(group: string, version: string): Promise<void> {
  await until(`${group} has ${version}`, async () => {
    const found = await readVersions(group);
    return found.every((one) => one === version);
  }, 40_000);
}

async function untilSome(group: string, version: string): Promise<void> {
  await until(`one of ${group} has ${version}`, async () => {
    const found = await readVersions(group);
    return found.includes(version) && found.some((one) => one !== version);
  });
}

/** Applies a configuration in which both groups have the version. */
async function applyVersion(daemon: string, version: string): Promise<void> {
  const { configuration } = deployment;
  const groups = Object.entries(configuration.groups).map(([name, group]) => {
    versions[name]?.push(`${name}-${version}`);
    return [name, { ...group, weights: `${name}-${version}` }];
  });
  changes += 1;
  const content = { ...configuration, groups: Object.fromEntries(groups) };
  const body = { content, change: `weights-${changes}` };
  const path = "/configuration";
  const answer = await operate(deployment, daemon, { path, body });
  expect((answer as { outcome: string }).outcome).toEqual("accepted");
}

function otherThan(daemon: string): string {
  return DAEMONS.find((name) => name !== daemon) ?? "";
}

/** The daemon that told a replica of the group the version. */
function holderOf(group: string, version: string): string {
  const holder = DAEMONS.find((daemon) =>
    eventsOf(deployment, daemon, "rollout_started")
      .some((event) => JSON.stringify(event).includes(`${group}-${version}`))
  );
  if (holder === undefined) throw new Error(`nobody rolls ${version} out`);
  return holder;
}

function countLosses(daemon: string): number {
  return eventsOf(deployment, daemon, "lease_lost")
    .filter((event) => JSON.stringify(event).includes(CHECKING)).length;
}

async function moveCallersFrom(daemon: string): Promise<void> {
  front = otherThan(daemon);
  await until("no request is left", () => (inFlight.get(daemon) ?? 0) === 0);
}

async function sendUntilOver(worker: number): Promise<void> {
  for (let count = 0; !isOver; count += 1) {
    const daemon = front;
    const model = worker % 2 === 0 ? CHECKING : IGNORING;
    const text = `Worker ${worker} asks ${count} [[tokens=12]]`;
    const question = { daemon, customer: "coat-club", model, text };
    inFlight.set(daemon, (inFlight.get(daemon) ?? 0) + 1);
    const reply = await ask(deployment, { ...question, stream: true })
      .catch((error: unknown) => ({ text: "", isComplete: false, error }));
    inFlight.set(daemon, (inFlight.get(daemon) ?? 0) - 1);
    const right = (versions[model] ?? [])
      .map((version) => answerTo(deployment, question, version));
    answered += 1;
    if (!reply.isComplete || !right.includes(reply.text)) {
      wrong.push({ question, reply });
    }
    await pause(20);
  }
}

/** The most replicas of a group that loaded at once, over the whole run. */
function countAtOnce(loads: ReadonlyMap<string, readonly Load[]>): number {
  const all = [...loads].flatMap(([name, own]) =>
    own.map((load) => ({ name, ...load }))
  );
  const counts = all.map(({ from }) =>
    new Set(
      all.filter((other) => other.from <= from && (other.to ?? Infinity) > from)
        .map((other) => other.name),
    ).size
  );
  return Math.max(0, ...counts);
}

let sending: Promise<unknown>;

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: DAEMONS,
    engineArguments: [
      ...["--loadDuration", String(LOAD_MILLISECONDS)],
      ...["--reportLag", String(REPORT_LAG_MILLISECONDS)],
    ],
    edit,
  });
  for (const group of [CHECKING, IGNORING]) {
    versions[group] = [deployment.configuration.groups[group]?.weights ?? ""];
  }
  sending = Promise.all(
    Array.from({ length: WORKERS }, (_, worker) => sendUntilOver(worker)),
  );
});

after(async () => {
  await deployment.stop();
});

// Guards against a rollout that ends with its holder.
test("another daemon goes on when the holder is killed", async () => {
  await applyVersion("espoo-1", "v2");
  await untilSome(CHECKING, `${CHECKING}-v2`);
  const holder = holderOf(CHECKING, "v2");
  await moveCallersFrom(holder);
  await deployment.processes.get(holder)?.kill();
  await untilAll(CHECKING, `${CHECKING}-v2`);
  await untilAll(IGNORING, `${IGNORING}-v2`);
  await deployment.restart(holder);
});

// Guards against orders of a holder that was paused past its lease, and against
// a rollout that does not follow a change back to the former version.
test("a paused holder changes nothing when it is awake again", async () => {
  await applyVersion("espoo-1", "v3");
  await untilSome(CHECKING, `${CHECKING}-v3`);
  const holder = holderOf(CHECKING, "v3");
  await moveCallersFrom(holder);
  deployment.processes.get(holder)?.signal("SIGSTOP");
  await applyVersion(otherThan(holder), "v2");
  await untilAll(CHECKING, `${CHECKING}-v2`);
  await untilAll(IGNORING, `${IGNORING}-v2`);
  const before = await countAllLoads();
  deployment.processes.get(holder)?.signal("SIGCONT");
  await pause(2_000);
  expect(await countAllLoads()).toEqual(before);
  await untilAll(CHECKING, `${CHECKING}-v2`);
});

// Guards against a replica that stays with the weights of a stale order, which
// was under way while its sender lost the lease.
test("a stale order is refused, or corrected where it is not", async () => {
  const order = (group: string) =>
    fetch(`http://${deployment.addressOf(listEngines(group)[0]!)}/weights`, {
      method: "POST",
      body: JSON.stringify({ version: `${group}-v3`, fence: 1 }),
    });
  expect((await order(CHECKING)).status).toEqual(409);
  expect((await order(IGNORING)).status).toEqual(202);
  await untilSome(IGNORING, `${IGNORING}-v3`);
  await untilAll(IGNORING, `${IGNORING}-v2`);
});

// Guards against work without a lease, and against a rollout that stays paused.
test("an outage of the platform pauses a rollout", async () => {
  // Three pairs then take longer than the rest of the lease.
  for (const name of listEngines(CHECKING)) {
    await deployment.setFaults(name, { loadFactor: 4 });
  }
  await applyVersion("espoo-1", "v4");
  await until(
    "a replica loads",
    async () => (await readVersions(CHECKING)).includes("loading"),
  );
  const holder = holderOf(CHECKING, "v4");
  const losses = countLosses(holder);
  await deployment.setFaults("platform", { outage: true });
  await until("the lease is lost", () => countLosses(holder) > losses);
  const begun = await countLoads(CHECKING);
  // The next pair would begin in this time.
  await pause(4_500);
  const paused = await readVersions(CHECKING);
  expect(paused.every((one) => one === `${CHECKING}-v4`)).toEqual(false);
  expect(await countLoads(CHECKING)).toEqual(begun);
  await deployment.setFaults("platform", { outage: false });
  await untilAll(CHECKING, `${CHECKING}-v4`);
  await untilAll(IGNORING, `${IGNORING}-v4`);
});

// Guards against too many loads at once, by the engines' own count, also after
// a change of the holder, and against requests that a rollout cuts or mixes.
test("no run loads too much at once and no answer was wrong", async () => {
  isOver = true;
  await sending;
  const { groups } = deployment.configuration;
  const checking = countAtOnce(await listLoads(CHECKING));
  const ignoring = countAtOnce(await listLoads(IGNORING));
  expect(checking).toEqual(groups[CHECKING]?.parallelLoads ?? 0);
  // One of three may load while two must stay ready.
  expect(ignoring).toEqual(1);
  expect(wrong).toEqual([]);
  expect(answered).toBeGreaterThan(100);
});
