import { createHash } from "node:crypto";
import { cpSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  type Deployment,
  productCommand,
  startDeployment,
  startProcess,
} from "@peridotvalve/testbed";
import type { Configuration, DutyRule } from "@peridotvalve/types";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { answerTo, ask, keyOf, operate, pause, until } from "./testing.ts";

const MODEL = "shop-app";
const DAEMONS = ["espoo-1", "espoo-2"] as const;
const CUSTOMER = "coat-club";
const OTHER_CUSTOMER = "turku-kennels";
const POLICY = "60-policy.yaml";
const LEGACY_TEXT = "legacy answer";

type Server = "daemon" | "legacy" | "none";

let deployment: Deployment;
let content: Configuration;
let changeCount = 0;
let keyCount = 0;
let isOver = false;
const servedCounts = new Map<Server, number>();
const failedRequests: unknown[] = [];
/** The server that handled each order, by idempotency key. */
const orderServers = new Map<string, Server>();

function edit(text: string, file: string): string {
  if (file.includes("/settings/")) {
    // Keeps only the seeds of the test's daemons, because the lag check queries
    // every known daemon.
    const seeds = [...text.matchAll(/^ *- \{ address.*$/gm)].slice(2);
    return seeds.reduce((kept, [line]) => kept.replace(`${line}\n`, ""), text)
      .replace(/balancerDelay: \d+/, "balancerDelay: 600");
  }
  return text.replaceAll(/requestsPerSecond: \d+/g, "requestsPerSecond: 10000");
}

async function isReady(daemon: string): Promise<boolean> {
  const address = deployment.settings.get(daemon)?.listeners.operators;
  return await fetch(`http://${address}/readyz`)
    .then((answer) => answer.ok, () => false);
}

async function versionOf(daemon: string): Promise<number | undefined> {
  const status = await operate(deployment, daemon, { path: "/status" })
    .catch(() => ({}));
  return (status as { version?: number }).version;
}

async function untilAdopted(version: number): Promise<void> {
  await until(`version ${version} is in force`, async () => {
    const versions = await Promise.all(DAEMONS.map(versionOf));
    return versions.every((one) => one !== undefined && one >= version);
  });
}

async function applyContent(next: Configuration): Promise<void> {
  changeCount += 1;
  const body = { content: next, change: `duties-${changeCount}` };
  const path = "/configuration";
  const answer = await operate(deployment, "espoo-1", { path, body });
  const { outcome, version = 0 } = answer as {
    readonly outcome: string;
    readonly version?: number;
  };
  expect(outcome).toEqual("accepted");
  content = next;
  await untilAdopted(version);
}

function applyRules(rules: readonly DutyRule[]): Promise<void> {
  return applyContent({ ...content, duties: rules });
}

async function chat(
  daemon: string,
  customer: string,
  model = MODEL,
): Promise<Server> {
  keyCount += 1;
  const text = `Duty ${keyCount} [[tokens=3]]`;
  const question = {
    daemon,
    customer,
    model,
    text,
    stream: keyCount % 2 === 0,
  };
  const reply = await ask(deployment, question);
  if (reply.text === LEGACY_TEXT) return "legacy";
  const isRight = reply.isComplete &&
    reply.text === answerTo(deployment, question);
  return isRight ? "daemon" : "none";
}

interface Call {
  readonly daemon: string;
  readonly customer: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
}

/** The legacy stand-in echoes the request, which must arrive unchanged. */
async function callService(call: Call): Promise<Server> {
  const { daemon, customer, method, path, body, key = "none" } = call;
  const authorization = `Bearer ${keyOf(deployment, customer)}`;
  const url = `http://${deployment.addressOf(daemon)}${path}`;
  const answer = await fetch(url, {
    method,
    headers: { authorization, "idempotency-key": key },
    ...(body === undefined ? {} : { body }),
  });
  const given = await answer.json() as Record<string, unknown>;
  if (given["order"] !== undefined || given["item"] === "rain") return "daemon";
  const headers = given["headers"] as Record<string, string> | undefined;
  const isUnchanged = given["method"] === method && given["path"] === path &&
    headers?.["authorization"] === authorization &&
    headers?.["idempotency-key"] === key &&
    given["bodySha256"] ===
      createHash("sha256").update(body ?? "").digest("hex");
  return isUnchanged ? "legacy" : "none";
}

function lookUp(daemon: string, customer: string): Promise<Server> {
  const path = "/services/stock/stock/rain";
  return callService({ daemon, customer, method: "GET", path });
}

async function order(daemon: string, customer: string): Promise<Server> {
  keyCount += 1;
  const key = `order-${keyCount}`;
  const server = await callService({
    ...{ daemon, customer, key, method: "POST", body: `{"coat":${keyCount}}` },
    path: "/services/bookings/orders",
  });
  orderServers.set(key, server);
  return server;
}

const KINDS = { chat, services: lookUp, orders: order } as const;

type Kind = keyof typeof KINDS;

/** Simulates a caller behind a load balancer that checks readiness. */
async function sendUntilOver(kind: Kind): Promise<void> {
  for (let count = 0; !isOver; count += 1) {
    const daemon = DAEMONS[count % DAEMONS.length]!;
    if (!await isReady(daemon)) continue;
    const customer = count % 3 === 0 ? OTHER_CUSTOMER : CUSTOMER;
    const server = await KINDS[kind](daemon, customer)
      .catch((error: unknown) => {
        failedRequests.push({ kind, daemon, error: String(error) });
        return "none" as const;
      });
    if (server === "none") failedRequests.push({ kind, daemon, count });
    servedCounts.set(server, (servedCounts.get(server) ?? 0) + 1);
    await pause(5);
  }
}

async function expectServed(
  kind: Kind,
  expectedServers: { readonly [customer: string]: Server },
): Promise<void> {
  for (const daemon of DAEMONS) {
    for (const [customer, server] of Object.entries(expectedServers)) {
      const got = await KINDS[kind](daemon, customer);
      expect([kind, daemon, customer, got])
        .toEqual([kind, daemon, customer, server]);
    }
  }
}

interface CommandResult {
  readonly code: number | null;
  readonly report: {
    readonly outcome?: string;
    readonly version?: number;
    readonly lagging?: readonly string[];
  };
}

/** Runs `peridotvalve config apply` against a daemon. */
async function applyFolder(
  folder: string,
  words: readonly string[] = [],
): Promise<CommandResult> {
  const address = deployment.settings.get("espoo-1")?.listeners.operators ?? "";
  const command = startProcess({
    name: "config apply",
    commandLine: productCommand([
      ...["config", "apply", folder, "--json"],
      ...["--operators", address, "--token-file", deployment.tokenFile],
      ...words,
    ], undefined),
    logFile: deployment.logFileOf("config-apply"),
  });
  await until("the command ends", () => !command.isRunning());
  const code = await command.stop();
  const line = command.lines().find((one) => one.startsWith("{")) ?? "{}";
  return { code, report: JSON.parse(line) as CommandResult["report"] };
}

/** Copies the operators' folder with a changed policy file. */
function copyFolder(name: string, change: (policy: string) => string): string {
  const folder = join(deployment.folder, name);
  cpSync(join(deployment.folder, "operators"), folder, { recursive: true });
  changePolicy(folder, change);
  return folder;
}

function changePolicy(
  folder: string,
  change: (policy: string) => string,
): void {
  const file = join(folder, POLICY);
  writeFileSync(file, change(readFileSync(file, "utf8")));
}

function setDuty(duty: string, on: boolean): (policy: string) => string {
  return (policy) =>
    policy.replace(
      new RegExp(`(- duty: ${duty}\\n +on: )\\w+`),
      `$1${on}`,
    );
}

let sending: Promise<unknown>;

before(async () => {
  deployment = await startDeployment({
    ...{ example: "examples/koiratakki", groups: [MODEL] },
    ...{ daemons: DAEMONS, edit },
  });
  content = deployment.configuration;
  sending = Promise.all(
    (["chat", "services", "orders"] as const).map(sendUntilOver),
  );
});

after(async () => {
  await deployment.stop();
});

// Guards against requests that are lost, altered or served twice while their
// duty is switched, and against a rule that applies beyond its route or
// customer.
for (
  const [kind, route] of [
    ["chat", MODEL],
    ["services", "stock"],
    ["orders", "bookings"],
  ] as const
) {
  test(`the duty ${kind} is switched off and back on`, async () => {
    const on = { duty: kind, on: true } as const;
    const off = { duty: kind, on: false } as const;
    const legacy = {
      [CUSTOMER]: "legacy",
      [OTHER_CUSTOMER]: "legacy",
    } as const;
    const daemon = {
      [CUSTOMER]: "daemon",
      [OTHER_CUSTOMER]: "daemon",
    } as const;
    await applyRules([off]);
    await expectServed(kind, legacy);
    await applyRules([on]);
    await expectServed(kind, daemon);
    await applyRules([on, { ...off, route }]);
    await expectServed(kind, legacy);
    await applyRules([on, { ...off, route: "sizing-llm" }]);
    await expectServed(kind, daemon);
    await applyRules([on, { ...off, customer: CUSTOMER }]);
    await expectServed(kind, { ...daemon, [CUSTOMER]: "legacy" });
    // The more specific rule wins even though it comes first.
    await applyRules([{ ...on, route, customer: CUSTOMER }, off]);
    await expectServed(kind, { ...legacy, [CUSTOMER]: "daemon" });
    await applyRules([on]);
    await expectServed(kind, daemon);
  });
}

// Guards against weight commands to replicas whose rollouts are handled by
// another system.
test("the duties cache and rollouts are switched off and back on", async () => {
  for (const duty of ["cache", "rollouts"] as const) {
    for (const scope of [{}, { route: MODEL }, { customer: CUSTOMER }]) {
      await applyRules([{ duty, on: true }, { duty, on: false, ...scope }]);
      await applyRules([{ duty, on: true }]);
    }
  }
  await applyRules([{ duty: "rollouts", on: false, route: MODEL }]);
  const group = content.groups[MODEL]!;
  const groups = {
    ...content.groups,
    [MODEL]: { ...group, weights: "left-alone" },
  };
  await applyContent({ ...content, groups });
  await pause(4_000);
  for (const name of Object.keys(group.replicas)) {
    const url = `http://${deployment.addressOf(name)}/control/loads`;
    const { loads } = await (await fetch(url)).json() as { loads: unknown[] };
    expect(loads).toEqual([]);
  }
  await applyContent({ ...content, groups: deployment.configuration.groups });
  await applyRules([{ duty: "rollouts", on: true }]);
});

// Guards against requests that are lost while daemons change their
// configuration source, which they select at startup.
test("the duty configuration is switched off and back on by restarts", async () => {
  const folder = join(deployment.folder, "operators");
  const newest = await versionOf("espoo-1");
  for (const on of [false, true]) {
    changePolicy(folder, setDuty("configuration", on));
    for (const daemon of DAEMONS) {
      expect(await deployment.processes.get(daemon)?.stop()).toEqual(0);
      await deployment.restart(daemon);
      await until("it is ready", () => isReady(daemon));
      expect(await versionOf(daemon)).toEqual(on ? newest : 0);
    }
  }
});

test("no request of the callers was lost or ran twice", async () => {
  isOver = true;
  await sending;
  expect(failedRequests).toEqual([]);
  expect(servedCounts.get("daemon") ?? 0).toBeGreaterThan(20);
  expect(servedCounts.get("legacy") ?? 0).toBeGreaterThan(20);
  const runs = new Map<string, number>();
  for (const name of ["bookings-1", "bookings-2"]) {
    const url = `http://${deployment.addressOf(name)}/control/calls`;
    const { calls } = await (await fetch(url)).json() as {
      readonly calls: readonly { readonly idempotencyKey: string }[];
    };
    for (const { idempotencyKey: key } of calls) {
      runs.set(key, (runs.get(key) ?? 0) + 1);
    }
  }
  for (const [key, server] of orderServers) {
    const expected = server === "daemon" ? 1 : 0;
    expect([key, runs.get(key) ?? 0]).toEqual([key, expected]);
  }
});

// Guards against two concurrent changes that both appear to succeed, and
// against an `apply` that hides a daemon that lags behind.
test("config apply: one of two operators wins, and lagging daemons are listed", async () => {
  const base = await versionOf("espoo-1") ?? 0;
  const folders = ["chat", "services"].map((duty) =>
    copyFolder(`operators-${duty}`, setDuty(duty, false))
  );
  const words = ["--expect", String(base)];
  const ends = await Promise.all(
    folders.map((folder) => applyFolder(folder, words)),
  );
  expect(ends.map(({ code }) => code).sort()).toEqual([0, 1]);
  const winner = ends[0]?.code === 0 ? "chat" : "services";
  expect(ends.find(({ code }) => code === 0)?.report.version)
    .toEqual(base + 1);
  await expectServed(winner, { [CUSTOMER]: "legacy" });
  const loser = winner === "chat" ? "services" : "chat";
  await expectServed(loser, { [CUSTOMER]: "daemon" });

  const silent = deployment.processes.get("espoo-2")!;
  silent.signal("SIGSTOP");
  const folder = copyFolder("operators-lag", (policy) => policy);
  const lagging = await applyFolder(folder, ["--wait", "2000"]);
  silent.signal("SIGCONT");
  expect(lagging.code).toEqual(5);
  const address = deployment.settings.get("espoo-2")?.listeners.peers ?? "";
  expect(lagging.report.lagging).toEqual([address]);
  await untilAdopted(base + 2);
  await expectServed(winner, { [CUSTOMER]: "daemon" });
});
