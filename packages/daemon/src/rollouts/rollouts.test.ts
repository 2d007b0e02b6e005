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

const FENCED_GROUP = "sizing-llm";
const UNFENCED_GROUP = "shop-app";
const DAEMONS = ["espoo-1", "vantaa-1"] as const;
const LEASE_MILLISECONDS = 6_000;
const LOAD_MILLISECONDS = 600;
/** Long enough that a load appears in reports only after further planning. */
const REPORT_LAG_MILLISECONDS = 1_200;
const WORKERS = 4;

interface Load {
  readonly version: string;
  readonly fence: number;
  readonly from: number;
  readonly to?: number;
}

let deployment: Deployment;
/** The daemon that receives the callers' requests. */
let activeDaemon: string = DAEMONS[0];
const inFlight = new Map<string, number>();
const versions: Record<string, string[]> = {};
const wrongAnswers: unknown[] = [];
let answerCount = 0;
let isOver = false;
let changeCount = 0;

function editFile(text: string, file: string): string {
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

/** Number of loads that started since the engines did. */
async function countLoads(group: string): Promise<number> {
  return [...(await listLoads(group)).values()].flat().length;
}

async function countAllLoads(): Promise<readonly number[]> {
  return [await countLoads(FENCED_GROUP), await countLoads(UNFENCED_GROUP)];
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

/** Applies a configuration with this version for both groups. */
async function applyVersion(daemon: string, version: string): Promise<void> {
  const { configuration } = deployment;
  const groups = Object.entries(configuration.groups).map(([name, group]) => {
    versions[name]?.push(`${name}-${version}`);
    return [name, { ...group, weights: `${name}-${version}` }];
  });
  changeCount += 1;
  const content = { ...configuration, groups: Object.fromEntries(groups) };
  const body = { content, change: `weights-${changeCount}` };
  const path = "/configuration";
  const answer = await operate(deployment, daemon, { path, body });
  expect((answer as { outcome: string }).outcome).toEqual("accepted");
}

function otherThan(daemon: string): string {
  return DAEMONS.find((name) => name !== daemon) ?? "";
}

/** The daemon that started the rollout of the version in the group. */
function holderOf(group: string, version: string): string {
  const holder = DAEMONS.find((daemon) =>
    eventsOf(deployment, daemon, "rollout_started")
      .some((event) => JSON.stringify(event).includes(`${group}-${version}`))
  );
  if (holder === undefined) throw new Error(`no daemon rolls out ${version}`);
  return holder;
}

function countLeaseLosses(daemon: string): number {
  return eventsOf(deployment, daemon, "lease_lost")
    .filter((event) => JSON.stringify(event).includes(FENCED_GROUP)).length;
}

async function moveCallersFrom(daemon: string): Promise<void> {
  activeDaemon = otherThan(daemon);
  await until("no request is left", () => (inFlight.get(daemon) ?? 0) === 0);
}

async function sendUntilOver(worker: number): Promise<void> {
  for (let count = 0; !isOver; count += 1) {
    const daemon = activeDaemon;
    const model = worker % 2 === 0 ? FENCED_GROUP : UNFENCED_GROUP;
    const text = `Worker ${worker} asks ${count} [[tokens=12]]`;
    const question = { daemon, customer: "coat-club", model, text };
    inFlight.set(daemon, (inFlight.get(daemon) ?? 0) + 1);
    const reply = await ask(deployment, { ...question, stream: true })
      .catch((error: unknown) => ({ text: "", isComplete: false, error }));
    inFlight.set(daemon, (inFlight.get(daemon) ?? 0) - 1);
    const rightAnswers = (versions[model] ?? [])
      .map((version) => answerTo(deployment, question, version));
    answerCount += 1;
    if (!reply.isComplete || !rightAnswers.includes(reply.text)) {
      wrongAnswers.push({ question, reply });
    }
    await pause(20);
  }
}

/** The largest number of replicas that were loading at the same time. */
function countConcurrentLoads(
  loads: ReadonlyMap<string, readonly Load[]>,
): number {
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
    edit: editFile,
  });
  for (const group of [FENCED_GROUP, UNFENCED_GROUP]) {
    versions[group] = [deployment.configuration.groups[group]?.weights ?? ""];
  }
  sending = Promise.all(
    Array.from({ length: WORKERS }, (_, worker) => sendUntilOver(worker)),
  );
});

after(async () => {
  await deployment.stop();
});

// A rollout must not end when the lease holder is killed.
test("another daemon continues when the lease holder is killed", async () => {
  await applyVersion("espoo-1", "v2");
  await untilSome(FENCED_GROUP, `${FENCED_GROUP}-v2`);
  const holder = holderOf(FENCED_GROUP, "v2");
  await moveCallersFrom(holder);
  await deployment.processes.get(holder)?.kill();
  await untilAll(FENCED_GROUP, `${FENCED_GROUP}-v2`);
  await untilAll(UNFENCED_GROUP, `${UNFENCED_GROUP}-v2`);
  await deployment.restart(holder);
});

// A holder that was paused past the end of its lease must not send commands.
// Also covers a rollout back to the previous version.
test("a paused holder changes nothing after it resumes", async () => {
  await applyVersion("espoo-1", "v3");
  await untilSome(FENCED_GROUP, `${FENCED_GROUP}-v3`);
  const holder = holderOf(FENCED_GROUP, "v3");
  await moveCallersFrom(holder);
  deployment.processes.get(holder)?.signal("SIGSTOP");
  await applyVersion(otherThan(holder), "v2");
  await untilAll(FENCED_GROUP, `${FENCED_GROUP}-v2`);
  await untilAll(UNFENCED_GROUP, `${UNFENCED_GROUP}-v2`);
  const before = await countAllLoads();
  deployment.processes.get(holder)?.signal("SIGCONT");
  await pause(2_000);
  expect(await countAllLoads()).toEqual(before);
  await untilAll(FENCED_GROUP, `${FENCED_GROUP}-v2`);
});

// A command may arrive after its sender has lost the lease. Replicas that check
// the fencing token refuse it; on others the next command corrects the weights.
test("a stale command is refused, or corrected where it is not", async () => {
  const sendCommand = (group: string) =>
    fetch(`http://${deployment.addressOf(listEngines(group)[0]!)}/weights`, {
      method: "POST",
      body: JSON.stringify({ version: `${group}-v3`, fence: 1 }),
    });
  expect((await sendCommand(FENCED_GROUP)).status).toEqual(409);
  expect((await sendCommand(UNFENCED_GROUP)).status).toEqual(202);
  await untilSome(UNFENCED_GROUP, `${UNFENCED_GROUP}-v3`);
  await untilAll(UNFENCED_GROUP, `${UNFENCED_GROUP}-v2`);
});

// Without a lease no load may start, and the rollout must continue once the
// platform is back.
test("an outage of the platform pauses a rollout", async () => {
  // Loads are slowed so that three pairs take longer than the rest of the
  // lease.
  for (const name of listEngines(FENCED_GROUP)) {
    await deployment.setFaults(name, { loadFactor: 4 });
  }
  await applyVersion("espoo-1", "v4");
  await until(
    "a replica loads",
    async () => (await readVersions(FENCED_GROUP)).includes("loading"),
  );
  const holder = holderOf(FENCED_GROUP, "v4");
  const losses = countLeaseLosses(holder);
  await deployment.setFaults("platform", { outage: true });
  await until("the lease is lost", () => countLeaseLosses(holder) > losses);
  const loadCount = await countLoads(FENCED_GROUP);
  // Long enough for the next pair to start.
  await pause(4_500);
  const versionsInOutage = await readVersions(FENCED_GROUP);
  expect(versionsInOutage.every((one) => one === `${FENCED_GROUP}-v4`)).toEqual(
    false,
  );
  expect(await countLoads(FENCED_GROUP)).toEqual(loadCount);
  await deployment.setFaults("platform", { outage: false });
  await untilAll(FENCED_GROUP, `${FENCED_GROUP}-v4`);
  await untilAll(UNFENCED_GROUP, `${UNFENCED_GROUP}-v4`);
});

// Over the whole run, including changes of the lease holder, the engines'
// records must show no more concurrent loads than configured, and no response
// may have been truncated or have come from several versions.
test("loads stay within the limits and no response was wrong", async () => {
  isOver = true;
  await sending;
  const { groups } = deployment.configuration;
  const fenced = countConcurrentLoads(await listLoads(FENCED_GROUP));
  const unfenced = countConcurrentLoads(await listLoads(UNFENCED_GROUP));
  expect(fenced).toEqual(groups[FENCED_GROUP]?.parallelLoads ?? 0);
  // One of three replicas may load because two must stay ready.
  expect(unfenced).toEqual(1);
  expect(wrongAnswers).toEqual([]);
  expect(answerCount).toBeGreaterThan(100);
});
