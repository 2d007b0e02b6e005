import { expect } from "earl";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { formatProblem } from "./problem.ts";
import { readProcessSettings } from "./process_settings.ts";

const SETTINGS = `name: d1
availabilityZone: a
region: north
listeners:
  callers: 127.0.0.1:1
  peers: 127.0.0.1:2
  operators: "[::1]:3"
platform: 127.0.0.1:4
bootstrapFolder: operators
operatorToken: { value: a-long-enough-token }
`;

let folder = "";
before(async () => {
  folder = await mkdtemp(join(tmpdir(), "peridotvalve-settings-"));
});
after(() => rm(folder, { recursive: true }));

async function read(text: string) {
  const file = join(folder, "d1.yaml");
  await writeFile(file, text);
  return await readProcessSettings(file);
}

test("secrets are read from files, relative to the settings file", async () => {
  await writeFile(join(folder, "peer"), "a-long-enough-secret\n");
  const settings = (await read(`${SETTINGS}peerSecret: { file: peer }`))
    .unwrap();
  expect(settings.peerSecret).toEqual("a-long-enough-secret");
  expect(settings.operatorToken).toEqual("a-long-enough-token");
  expect(settings.bootstrapFolder).toEqual(join(folder, "operators"));
  expect(settings.logLevel).toEqual("info");
  expect(settings.shutdown).toEqual({
    balancerDelay: 5_000,
    requestLimit: 600_000,
    limit: 60_000,
  });
});

test("a short or missing secret is reported at the line of its key", async () => {
  for (const secret of ["{ value: short }", "{ file: missing }"]) {
    const result = await read(`${SETTINGS}peerSecret: ${secret}`);
    const [problem] = result.unwrapErr();
    expect(problem?.key).toEqual("peerSecret");
    expect(problem?.line).toEqual(11);
  }
});

test("problems do not contain the text of a secret", async () => {
  const text = SETTINGS.replace("value: a-long-enough-token", "value: hush");
  const result = await read(`${text}peerSecret: { valu: also-hush }`);
  const problems = result.unwrapErr().map(formatProblem).join("\n");
  expect(problems.includes("hush")).toEqual(false);
});

test("a misspelt key is reported with a suggestion", async () => {
  const text = SETTINGS.replace("platform:", "platfrom:");
  const result = await read(`${text}peerSecret: { value: 0123456789abcdef }`);
  const problems = result.unwrapErr().map((problem) => problem.suggestion);
  expect(problems).toEqual([undefined, "platform"]);
});

test("a missing file is a problem", async () => {
  const result = await readProcessSettings(join(folder, "none.yaml"));
  expect(result.unwrapErr()[0]?.kind).toEqual("file");
});
