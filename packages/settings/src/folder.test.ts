import { expect } from "earl";
import { test } from "node:test";
import { mergeFiles } from "./folder.ts";
import { formatProblem } from "./problem.ts";

const ZONES = `regions:
  north: { availabilityZones: [a, b] }
`;

function problemsOf(files: Readonly<Record<string, string>>) {
  const sources = Object.entries(files).map(([name, text]) => ({ name, text }));
  const result = mergeFiles("folder", sources);
  return result.isErr() ? result.error.map(formatProblem) : [];
}

function configurationOf(files: Readonly<Record<string, string>>) {
  const sources = Object.entries(files).map(([name, text]) => ({ name, text }));
  return mergeFiles("folder", sources).unwrap();
}

test("a later file overrides single keys and keeps their siblings", () => {
  const content = configurationOf({
    "1.yaml": `${ZONES}customers: { x: { share: 2, concurrency: 9 } }`,
    "2.yaml": "customers: { x: { share: 3 } }",
  });
  expect(content.customers.x?.share).toEqual(3);
  expect(content.customers.x?.concurrency).toEqual(9);
});

test("a list is replaced as a whole", () => {
  const content = configurationOf({
    "1.yaml": `${ZONES}customers: { x: { barredZones: [a] } }`,
    "2.yaml": "customers: { x: { barredZones: [b] } }",
  });
  expect(content.customers.x?.barredZones).toEqual(["b"]);
});

test("an explicit null removes a key, and a later file can set it again", () => {
  const content = configurationOf({
    "1.yaml": `${ZONES}customers: { x: { share: 2 }, y: {} }`,
    "2.yaml": "customers: { x: null, y: null }",
    "3.yaml": "customers: { y: { share: 4 } }",
  });
  expect(Object.keys(content.customers)).toEqual(["y"]);
  expect(content.customers.y?.share).toEqual(4);
});

test("a key without a value is a problem, not a removal", () => {
  const problems = problemsOf({ "1.yaml": `${ZONES}customers:\n` });
  expect(problems).toEqual([
    "1.yaml:3: customers: has no value; write null to remove the key",
  ]);
});

test("several problems are reported at once, each with its file", () => {
  const problems = problemsOf({
    "1.yaml": `${ZONES}link:\n  share: 2\n`,
    "2.yaml": "customers:\n  x:\n    shar: 1\n    concurrency: many\n",
  });
  expect(problems).toEqual([
    "1.yaml:4: link.share: Too big: expected number to be <=1",
    "2.yaml:4: customers.x.concurrency: expected number, received string",
    '2.yaml:3: customers.x.shar: unknown key (did you mean "share"?)',
  ]);
});

test("a problem names the file that set the invalid value last", () => {
  const problems = problemsOf({
    "1.yaml": `${ZONES}policy: { retryPercent: 5 }`,
    "2.yaml": "policy:\n  retryPercent: -5",
  });
  expect(problems).toEqual([
    "2.yaml:2: policy.retryPercent: Too small: expected number to be >=0",
  ]);
});

test("a removed required key is reported at the place of its removal", () => {
  const problems = problemsOf({ "1.yaml": ZONES, "2.yaml": "\nregions: null" });
  expect(problems).toEqual(["2.yaml:2: regions: is required"]);
});

test("keys that would change an object's prototype are rejected", () => {
  const problems = problemsOf({ "1.yaml": `${ZONES}__proto__: { a: 1 }` });
  expect(problems).toEqual(["1.yaml:3: this key is not allowed"]);
});

test("invalid YAML is reported with its line", () => {
  const problems = problemsOf({ "1.yaml": "a: 1\nb: [1\n" });
  expect(problems.length > 0).toEqual(true);
  expect(problems[0]?.startsWith("1.yaml:")).toEqual(true);
});

test("a duplicate key in one file is rejected", () => {
  const problems = problemsOf({ "1.yaml": `${ZONES}link: {}\nlink: {}\n` });
  expect(problems.length).toEqual(1);
});
