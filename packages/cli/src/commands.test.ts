import { expect } from "earl";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { readFolder } from "@peridotvalve/settings";
import { Err, Ok } from "ts-results-es";
import { EXAMPLE, runAgainst, runCommand } from "./run_command.ts";
import {
  BROKEN_CONNECTION,
  type FakeResponse,
  NO_RESPONSE,
  ok,
} from "./fake_operators_listener.ts";
import type { EventsModule } from "./optional_modules.ts";

const FOLDER = join(EXAMPLE, "operators");
const SETTINGS = join(EXAMPLE, "settings/espoo-1.yaml");

const EVENTS: EventsModule = {
  mergeTimeline: (sources, { request }) =>
    sources.flat().filter((line) =>
      request === undefined || line.includes(request)
    )
      .sort(),
  formatLine: (line) => `event ${JSON.parse(line).at}`,
  listEvents: () => [
    { number: 1, name: "started", level: "info", description: "A start." },
  ],
};

const loadEvents = () => Promise.resolve(EVENTS);

test("--version and --help succeed, invalid arguments exit with 2", async () => {
  expect((await runCommand(["--version"])).output).toEqual(["development"]);
  expect((await runCommand(["--help"])).code).toEqual(0);
  for (const args of [["confg"], ["status"], ["config", "check"]]) {
    const result = await runCommand(args);
    expect(result.code).toEqual(2);
    expect(result.output).toEqual([]);
  }
});

test("an address must be an IP address and port", async () => {
  const token = join(EXAMPLE, "operator-token");
  const args = ["--operators", "localhost:1", "--token-file", token];
  expect((await runCommand(["status", ...args])).code).toEqual(2);
});

test("config check reports problems as text and as JSON", async () => {
  expect((await runCommand(["config", "check", FOLDER])).code).toEqual(0);
  const text = await runCommand(["config", "check", EXAMPLE]);
  expect(text.code).toEqual(1);
  expect(text.errors.length).toEqual(1);
  const json = await runCommand(["config", "check", EXAMPLE, "--json"]);
  expect(json.code).toEqual(1);
  expect(JSON.parse(json.output[0] ?? "").problems[0].kind).toEqual("file");
});

test("config show prints the requested version", async () => {
  const body = {
    version: 4,
    change: "c4",
    content: { customers: { x: {} } },
  };
  const result = await runAgainst(["config", "show", "--version", "4"], {
    script: ({ target }) =>
      target === "GET /configuration?version=4" ? ok(body) : undefined,
  });
  expect(result.code).toEqual(0);
  expect(result.output[0]).toEqual("# version 4, change c4");
  const absent = await runAgainst(["config", "show", "--version", "5"], {
    script: () => undefined,
  });
  expect(absent.code).toEqual(1);
});

test("config history lists changes", async () => {
  const entries = [{ version: 2, change: "b", at: 0 }, {
    version: 1,
    change: "a",
  }];
  const result = await runAgainst(["config", "history", "--limit", "2"], {
    script: ({ target }) =>
      target === "GET /configuration/history?limit=2"
        ? ok({ entries })
        : undefined,
  });
  expect(result.output).toEqual(["2\t1970-01-01T00:00:00.000Z\tb", "1\t-\ta"]);
});

test("config diff compares a folder with a stored version", async () => {
  const content = structuredClone((await readFolder(FOLDER)).unwrap());
  const changed = {
    ...content,
    policy: { ...content.policy, retryPercent: 3 },
  };
  const result = await runAgainst(["config", "diff", "12", FOLDER], {
    script: () => ok({ version: 12, change: "c", content: changed }),
  });
  expect(result.code).toEqual(0);
  expect(result.output).toEqual(["~ policy.retryPercent: 3 -> 10"]);
});

test("config diff of a version number needs a daemon", async () => {
  expect((await runCommand(["config", "diff", "12", FOLDER])).code).toEqual(2);
});

test("status prints nested data as lines and as JSON", async () => {
  const script = () => ok({ name: "d1", peers: { d2: "live" }, leases: [] });
  const text = await runAgainst(["status"], { script });
  expect(text.output).toEqual(["name: d1", "peers.d2: live", "leases: -"]);
  const json = await runAgainst(["status", "--json"], { script });
  expect(JSON.parse(json.output[0] ?? "").name).toEqual("d1");
});

test("a daemon that does not respond in time is unreachable", async () => {
  const responses: readonly FakeResponse[] = [NO_RESPONSE, BROKEN_CONNECTION];
  for (const response of responses) {
    const result = await runAgainst(["status", "--deadline", "200"], {
      script: () => response,
    });
    expect(result.code).toEqual(4);
  }
});

test("a status response that is not a JSON object is not printed", async () => {
  const result = await runAgainst(["status"], { script: () => ok([1]) });
  expect(result.code).toEqual(6);
  expect(result.output).toEqual([]);
});

test("orders show escapes the customer and the key", async () => {
  const result = await runAgainst(["orders", "show", "a", "k&1 #"], {
    script: ({ target }) =>
      target === "GET /orders?customer=a&key=k%261+%23"
        ? ok({ state: "done" })
        : undefined,
  });
  expect(result.output).toEqual(["state: done"]);
});

test("orders show of an unknown order exits with 1", async () => {
  const result = await runAgainst(["orders", "show", "a", "k"], {
    script: () => undefined,
  });
  expect(result.code).toEqual(1);
});

test("timeline merges files with all event pages of a daemon", async () => {
  const folder = await mkdtemp(join(tmpdir(), "peridotvalve-timeline-"));
  const file = join(folder, "d1.log");
  await writeFile(file, '{"at":2,"request":"r1"}\n\n{"at":4,"request":"r2"}\n');
  const result = await runAgainst([
    "timeline",
    file,
    "--json",
    "--request",
    "r1",
  ], {
    option: "--from",
    loadEvents,
    script: ({ target }) =>
      target === "GET /events?after=0"
        ? ok({ events: [{ at: 1, request: "r1" }], next: 1, more: true })
        : ok({ events: [{ at: 3, request: "r1" }], next: 2, more: false }),
  });
  await rm(folder, { recursive: true });
  const times = result.output.map((line) => JSON.parse(line).at);
  expect(times).toEqual([1, 2, 3]);
});

test("timeline prints the other sources when one cannot be read", async () => {
  const missing = join(EXAMPLE, "missing.log");
  const outputs: (readonly string[])[] = [];
  for (const options of [[], ["--json"]]) {
    const result = await runAgainst(["timeline", missing, ...options], {
      option: "--from",
      loadEvents,
      script: () => ok({ events: [{ at: 1 }], next: 1, more: false }),
    });
    outputs.push(result.output);
    expect(result.code).toEqual(1);
  }
  expect(outputs).toEqual([["event 1"], ['{"at":1}']]);
});

test("timeline without a source is a usage error", async () => {
  expect((await runCommand(["timeline"], { loadEvents })).code).toEqual(2);
});

test("events lists the catalogue", async () => {
  const result = await runCommand(["events"], { loadEvents });
  expect(result.output).toEqual(["1\tstarted\tinfo\tA start."]);
});

test("commands missing from the build say so and exit with 2", async () => {
  const serve = ["serve", "--settings", SETTINGS];
  for (const args of [serve, ["events"], ["timeline", "x.log"]]) {
    const result = await runCommand(args);
    expect(result.code).toEqual(2);
    expect(result.errors[0]?.endsWith("not part of this build")).toEqual(true);
  }
});

// Guards against a replay that passes although it had no files or daemons.
test("replay rejects missing arguments and files", async () => {
  const daemon = ["--daemon", "127.0.0.1:1"];
  const outcomes = ["--outcomes", "none.json"];
  for (
    const [args, message] of [
      [["replay", ...outcomes, ...daemon], "a trace is required"],
      [["replay", "none.jsonl", ...daemon], "--outcomes is required"],
      [["replay", "none.jsonl", ...outcomes], "--daemon is required"],
      [["replay", "none.jsonl", ...outcomes, ...daemon], "cannot read none"],
      [["replay", "--generate", "bakery"], 'no shape "bakery"'],
    ] as const
  ) {
    const result = await runCommand(args);
    expect(result.code).toEqual(2);
    expect(result.errors[0]?.startsWith(message)).toEqual(true);
  }
});

test("replay fails when the daemon cannot be reached", async () => {
  const folder = await mkdtemp(join(tmpdir(), "peridotvalve-replay-"));
  const generated = ["--generate", "koiratakki", "--minutes", "0.05"];
  const { output } = await runCommand(["replay", ...generated]);
  const trace = join(folder, "trace.jsonl");
  const outcomes = join(folder, "outcomes.json");
  const json = join(folder, "report.json");
  await writeFile(trace, output.join("\n"));
  await writeFile(outcomes, '{"minimumCompleted":1}');
  const result = await runCommand([
    ...["replay", trace, "--outcomes", outcomes, "--report", json],
    ...["--daemon", "127.0.0.1:1"],
  ]);
  const report = JSON.parse(await readFile(json, "utf8")) as {
    readonly measures: { readonly requests: number };
  };
  await rm(folder, { recursive: true });
  expect(result.code).toEqual(1);
  expect(report.measures.requests).toEqual(output.length);
});

test("serve passes the settings to the daemon and reports its exit", async () => {
  const names: string[] = [];
  const ends = [Ok(undefined), Err("port in use")];
  const codes: number[] = [];
  for (const end of ends) {
    const result = await runCommand(["serve", "--settings", SETTINGS], {
      loadDaemon: () =>
        Promise.resolve({
          runDaemon: (settings) => {
            names.push(settings.name);
            return Promise.resolve(end);
          },
        }),
    });
    codes.push(result.code);
  }
  expect(names).toEqual(["espoo-1", "espoo-1"]);
  expect(codes).toEqual([0, 1]);
});

test("serve does not start with invalid settings", async () => {
  const result = await runCommand([
    "serve",
    "--settings",
    join(EXAMPLE, "none.yaml"),
  ]);
  expect(result.code).toEqual(1);
});
