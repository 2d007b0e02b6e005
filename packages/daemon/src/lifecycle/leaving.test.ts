import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { ask, eventsOf, operate, pause, until } from "./testing.ts";

const MODEL = "shop-app";
const ENGINE = "shop-app-espoo-1";

/** Time after which a leaving upstream gets no new work (guarantee 7). */
const TARGET_MILLISECONDS = 3_000;

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

/** Asks in parallel; every question must be answered. */
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

/** Restarts the engine; the address comes back as a new incarnation. */
async function returnEngine(): Promise<void> {
  await deployment.processes.get(ENGINE)?.kill();
  await deployment.restart(ENGINE);
}

interface Told {
  readonly refuses: boolean;
  readonly reports: boolean;
}

async function leave({ refuses, reports }: Told): Promise<number> {
  const body = { leaving: true, refuses, reports };
  await control(ENGINE, { path: "/control/drain", body });
  return Date.now();
}

async function listVm(incarnation: string): Promise<void> {
  const address = deployment.addressOf(ENGINE);
  const state = "leaving";
  const vm = { name: ENGINE, address, zone: "espoo", state, incarnation };
  await control("platform", { path: "/control/vms", body: [vm] });
}

/** Keeps asking and expects no request later than the target. */
async function expectNoWork(daemon: string, told: number): Promise<void> {
  await askFor(daemon, TARGET_MILLISECONDS + 1_500);
  const late = (await listReceived())
    .filter(({ at }) => at > told + TARGET_MILLISECONDS);
  expect(late).toEqual([]);
}

/** The sources by which the daemons last learned that a replica leaves. */
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

// In each test the other sources are silent: the engine neither refuses nor
// reports unless the source is its own answer or its own report, and the VM
// list names it in one test only.

// Guards against a list that is read and not followed, and against a list that
// lags and keeps a returned address from work.
test("the VM list alone ends new work; a new incarnation gets work", async () => {
  await askUntilReceived("espoo-1");
  const told = await leave({ refuses: false, reports: false });
  await listVm(await readIncarnation());
  await expectNoWork("espoo-1", told);
  // Either daemon may read the list first and tell the other one.
  const sources = readSources("espoo-1", "espoo-2");
  expect(sources).toInclude("VM list");
  expect(sources.filter((one) => one !== "VM list" && one !== "peer"))
    .toEqual([]);
  await returnEngine();
  await askUntilReceived("espoo-1");
  await control("platform", { path: "/control/vms", body: [] });
});

// Guards against reports that are held and not followed.
test("the load report alone ends new work", async () => {
  await askUntilReceived("espoo-1");
  const told = await leave({ refuses: false, reports: true });
  await expectNoWork("espoo-1", told);
  await returnEngine();
  await askUntilReceived("espoo-1");
});

// Guards against a refusal that is only retried, and against news that stay
// with the daemon that saw them while the zone is cut from the platform.
test("a refusal ends new work, and for a peer its news alone do", async () => {
  await askUntilReceived("espoo-1");
  await askUntilReceived("espoo-2");
  await deployment.setFaults("platform", { outage: true });
  const told = await leave({ refuses: true, reports: false });
  await expectNoWork("espoo-1", told);
  expect(readSources("espoo-1")).toEqual(["response"]);
  const before = (await listReceived()).length;
  expect(before).toBeGreaterThan(0);
  await askMany("espoo-2", 40);
  expect((await listReceived()).length).toEqual(before);
  expect(readSources("espoo-2")).toEqual(["peer"]);
  await deployment.setFaults("platform", { outage: false });
  await returnEngine();
  await askUntilReceived("espoo-2");
});

// Guards against beliefs from before a pause: work that waited for the daemon
// went to a replica that was told to leave while nobody listened.
test("a daemon that was paused asks a replica before it sends work", async () => {
  await askUntilReceived("espoo-1");
  const daemons = ["espoo-1", "espoo-2"]
    .map((name) => deployment.processes.get(name));
  for (const daemon of daemons) daemon?.signal("SIGSTOP");
  const told = await leave({ refuses: false, reports: true });
  const waiting = askMany("espoo-1", 16);
  await pause(TARGET_MILLISECONDS + 200);
  for (const daemon of daemons) daemon?.signal("SIGCONT");
  await waiting;
  const late = (await listReceived())
    .filter(({ at }) => at > told + TARGET_MILLISECONDS);
  expect(late).toEqual([]);
  await returnEngine();
  await askUntilReceived("espoo-1");
});

// Guards against queued work that keeps the terms under which it was queued.
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
  // What runs goes on to its end.
  const ended = await Promise.all(held);
  expect(ended.map((reply) => reply.status)).toEqual([200, 200, 200]);
});
