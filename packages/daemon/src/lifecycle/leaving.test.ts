import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { ask, eventsOf, operate, pause, until } from "./testing.ts";

const MODEL = "shop-app";
const ENGINE = "shop-app-espoo-1";

/** Time after which a leaving upstream gets no new work (guarantee 7). */
const LEAVING_TARGET_MILLISECONDS = 3_000;

let deployment: Deployment;
let sequence = 0;

interface Received {
  readonly customer: string;
  readonly prompt: string;
  readonly at: number;
}

function edit(text: string, file: string): string {
  if (!file.endsWith("50-customers.yaml")) {
    return text.replace(/balancerDelay: \d+/, "balancerDelay: 200");
  }
  return ["savo-kennel", "agility-hall", "hound-owners"].reduce(
    (changed, name) =>
      changed.replace(
        new RegExp(`(${name}:[^]*?concurrency: )\\d+`),
        "$11",
      ),
    text.replaceAll(/requestsPerSecond: \d+/g, "requestsPerSecond: 10000"),
  );
}

async function control(
  name: string,
  call: { readonly path: string; readonly body?: unknown },
): Promise<unknown> {
  const url = `http://${deployment.addressOf(name)}${call.path}`;
  const answer = await fetch(url, {
    ...(call.body === undefined
      ? {}
      : { method: "POST", body: JSON.stringify(call.body) }),
  });
  return await answer.json();
}

async function listReceived(engine = ENGINE): Promise<readonly Received[]> {
  const answer = await control(engine, { path: "/control/received" });
  return (answer as { received: readonly Received[] }).received;
}

async function readIncarnation(): Promise<string> {
  const health = await control(ENGINE, { path: "/health" });
  return (health as { incarnation: string }).incarnation;
}

/** Sends requests in parallel and expects all of them to succeed. */
async function askMany(daemon: string, count: number): Promise<void> {
  const replies = await Promise.all(Array.from({ length: count }, () => {
    sequence += 1;
    const text = `Leaving ${sequence} [[tokens=2]]`;
    return ask(deployment, {
      daemon,
      customer: "coat-club",
      model: MODEL,
      text,
    });
  }));
  const failed = replies.filter((reply) => reply.status !== 200);
  expect(failed.map((reply) => reply.code)).toEqual([]);
}

async function askUntilReceived(daemon: string): Promise<void> {
  const before = (await listReceived()).length;
  await until("the engine gets work", async () => {
    await askMany(daemon, 8);
    return (await listReceived()).length > before;
  });
}

async function askFor(daemon: string, duration: number): Promise<void> {
  const end = performance.now() + duration;
  while (performance.now() < end) {
    await askMany(daemon, 8);
    await pause(100);
  }
}

/** Restarts the engine at the same address with a new incarnation. */
async function restartEngine(): Promise<void> {
  await deployment.processes.get(ENGINE)?.kill();
  await deployment.restart(ENGINE);
}

interface DrainFlags {
  readonly refuses: boolean;
  readonly reports: boolean;
}

async function startLeaving({ refuses, reports }: DrainFlags): Promise<number> {
  const body = { leaving: true, refuses, reports };
  await control(ENGINE, { path: "/control/drain", body });
  return Date.now();
}

async function listVmAsLeaving(incarnation: string): Promise<void> {
  const address = deployment.addressOf(ENGINE);
  const state = "leaving";
  const vm = { name: ENGINE, address, zone: "espoo", state, incarnation };
  await control("platform", { path: "/control/vms", body: [vm] });
}

/** Keeps sending requests and expects none to arrive after the target. */
async function expectNoLateWork(
  daemon: string,
  leavingSince: number,
): Promise<void> {
  await askFor(daemon, LEAVING_TARGET_MILLISECONDS + 1_500);
  const late = (await listReceived())
    .filter(({ at }) => at > leavingSince + LEAVING_TARGET_MILLISECONDS);
  expect(late).toEqual([]);
}

/** The source from which each daemon last learned that a replica leaves. */
function readSources(...daemons: readonly string[]): readonly string[] {
  return daemons.map((daemon) => {
    const last = eventsOf(deployment, daemon, "upstream_leaving").at(-1);
    return /"source":"([^"]+)"/.exec(JSON.stringify(last) ?? "")?.[1] ?? "";
  });
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    groups: [MODEL],
    daemons: ["espoo-1", "espoo-2"],
    edit,
  });
});

after(async () => {
  await deployment.stop();
});

// Each test isolates one source: the engine refuses requests or reports its
// state only where that response or report is the tested source, and the VM
// list names it in one test only.

// Guards against a VM list that is read but not acted on, and against a lagging
// list that keeps work from a new incarnation at the same address.
test("the VM list alone ends new work; a new incarnation gets work", async () => {
  await askUntilReceived("espoo-1");
  const leavingSince = await startLeaving({ refuses: false, reports: false });
  await listVmAsLeaving(await readIncarnation());
  await expectNoLateWork("espoo-1", leavingSince);
  // Either daemon may read the list first and notify the other one.
  const sources = readSources("espoo-1", "espoo-2");
  expect(sources).toInclude("VM list");
  expect(sources.filter((one) => one !== "VM list" && one !== "peer"))
    .toEqual([]);
  await restartEngine();
  await askUntilReceived("espoo-1");
  await control("platform", { path: "/control/vms", body: [] });
});

// Guards against load reports that are stored but not acted on.
test("the load report alone ends new work", async () => {
  await askUntilReceived("espoo-1");
  const leavingSince = await startLeaving({ refuses: false, reports: true });
  await expectNoLateWork("espoo-1", leavingSince);
  await restartEngine();
  await askUntilReceived("espoo-1");
});

// Guards against a refusal that only causes a retry, and against a daemon that
// does not notify its peers while the zone is cut off from the platform.
test("a refusal ends new work, and the notification alone does for a peer", async () => {
  await askUntilReceived("espoo-1");
  await askUntilReceived("espoo-2");
  await deployment.setFaults("platform", { outage: true });
  const leavingSince = await startLeaving({ refuses: true, reports: false });
  await expectNoLateWork("espoo-1", leavingSince);
  expect(readSources("espoo-1")).toEqual(["response"]);
  const before = (await listReceived()).length;
  expect(before).toBeGreaterThan(0);
  await askMany("espoo-2", 40);
  expect((await listReceived()).length).toEqual(before);
  expect(readSources("espoo-2")).toEqual(["peer"]);
  await deployment.setFaults("platform", { outage: false });
  await restartEngine();
  await askUntilReceived("espoo-2");
});

// Guards against stale state after a pause of the process: waiting requests
// went to a replica that had started to leave while the daemons were stopped.
test("a daemon that was paused queries a replica before it sends work", async () => {
  await askUntilReceived("espoo-1");
  const daemons = ["espoo-1", "espoo-2"]
    .map((name) => deployment.processes.get(name));
  for (const daemon of daemons) daemon?.signal("SIGSTOP");
  const leavingSince = await startLeaving({ refuses: false, reports: true });
  const waiting = askMany("espoo-1", 16);
  await pause(LEAVING_TARGET_MILLISECONDS + 200);
  for (const daemon of daemons) daemon?.signal("SIGCONT");
  await waiting;
  const late = (await listReceived())
    .filter(({ at }) => at > leavingSince + LEAVING_TARGET_MILLISECONDS);
  expect(late).toEqual([]);
  await restartEngine();
  await askUntilReceived("espoo-1");
});

// Guards against queued requests that keep the configuration from the time when
// they were queued.
test("a configuration change reaches queued work", async () => {
  const customers = ["savo-kennel", "agility-hall", "hound-owners"] as const;
  const questions = customers.map((customer) => ({
    ...{ daemon: "espoo-1", customer, model: MODEL },
    text: "Held [[tokens=200]]",
  }));
  const held = questions.map((question) => ask(deployment, question));
  await pause(300);
  const queued = questions.map((question) =>
    ask(deployment, { ...question, text: "Queued [[tokens=2]]" })
  );
  await pause(300);
  const { configuration } = deployment;
  const group = configuration.groups[MODEL]!;
  const { "shop-app-vaasa-1": _removed, ...replicas } = group.replicas;
  const barredZones = ["espoo"];
  const settings = configuration.customers;
  const content = {
    ...configuration,
    groups: {
      ...configuration.groups,
      [MODEL]: { ...group, minimumReady: 1, replicas },
    },
    customers: {
      ...settings,
      "savo-kennel": { ...settings["savo-kennel"], barredZones },
      "hound-owners": { ...settings["hound-owners"], disabled: true },
    },
  };
  const body = { content, change: "queued-work" };
  const answer = await operate(deployment, "espoo-1", {
    path: "/configuration",
    body,
  });
  expect((answer as { outcome: string }).outcome).toEqual("accepted");
  const [barred, moved, disabled] = await Promise.all(queued);
  expect(barred?.status).toEqual(200);
  expect(moved?.status).toEqual(200);
  expect([disabled?.code, disabled?.ran]).toEqual(["forbidden", "no"]);
  const isQueued = ({ prompt }: Received) => prompt.includes("Queued");
  const espoo = (await listReceived()).filter(isQueued);
  const vaasa = (await listReceived("shop-app-vaasa-1")).filter(isQueued);
  expect(espoo.filter((one) => one.customer === "savo-kennel")).toEqual([]);
  expect(vaasa).toEqual([]);
  // Running requests complete.
  const ended = await Promise.all(held);
  expect(ended.map((reply) => reply.status)).toEqual([200, 200, 200]);
});
