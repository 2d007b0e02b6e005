import { expect } from "earl";
import { test } from "node:test";
import { mergeFiles } from "./folder.ts";
import { formatProblem } from "./problem.ts";

const HASH = "a".repeat(64);

const VALID = `
regions: { north: { availabilityZones: [a, b] } }
caches: { keep: { vms: { v1: { address: "127.0.0.1:3", availabilityZone: a } } } }
services: { shop: { addresses: ["127.0.0.1:4"] } }
groups:
  chat:
    weights: w1
    caches: [keep]
    replicas:
      r1: { address: "127.0.0.1:1", availabilityZone: a }
      r2: { address: "127.0.0.1:2", availabilityZone: b }
customers: { x: { keyHashes: [${HASH}], models: [chat], barredZones: [b] } }
duties: [{ duty: chat, on: true, route: chat, customer: x }]
`;

function check(override: string): readonly string[] {
  const files = [
    { name: "1.yaml", text: VALID },
    { name: "2.yaml", text: override },
  ];
  const result = mergeFiles("folder", files);
  return result.isErr() ? result.error.map(formatProblem) : [];
}

test("the configuration that these tests override is valid", () => {
  expect(check("{}")).toEqual([]);
});

const INVALID_OVERRIDES:
  readonly (readonly [override: string, problem: string])[] = [
    [
      "groups: { chat: { caches: [kep] } }",
      'groups.chat.caches[0]: no cache group has the name "kep" (did you mean "keep"?)',
    ],
    [
      "groups: { chat: { replicas: { r2: { availabilityZone: c } } } }",
      'groups.chat.replicas.r2.availabilityZone: no availability zone has the name "c"',
    ],
    [
      'groups: { chat: { replicas: { r2: { address: "127.0.0.1:1" } } } }',
      "groups.chat.replicas.r2.address: 127.0.0.1:1 is already used by groups.chat.replicas.r1",
    ],
    [
      'groups: { chat: { replicas: { r2: { address: "localhost:1" } } } }',
      'groups.chat.replicas.r2.address: must be an IP address and a port, such as "127.0.0.1:8080"',
    ],
    [
      "groups: { chat: { minimumReady: 2 } }",
      "groups.chat.minimumReady: must be less than the number of replicas (2)",
    ],
    [
      "groups: { chat: { parallelLoads: 0 } }",
      "groups.chat.parallelLoads: Too small: expected number to be >=1",
    ],
    [
      "customers: { x: { models: [constructor] } }",
      'customers.x.models[0]: no model group has the name "constructor"',
    ],
    [
      "customers: { x: { barredZones: [z9] } }",
      'customers.x.barredZones[0]: no availability zone has the name "z9"',
    ],
    [
      `customers: { y: { keyHashes: [${HASH}] } }`,
      'customers.y.keyHashes[0]: the key hash already belongs to customer "x"',
    ],
    [
      "duties: [{ duty: chat, on: false, route: elsewhere }]",
      'duties[0].route: no model group or service has the name "elsewhere"',
    ],
    [
      "regions: { south: { availabilityZones: [a] } }",
      'regions.south.availabilityZones[0]: "a" is already in region "north"',
    ],
  ];

for (const [override, problem] of INVALID_OVERRIDES) {
  test(`is rejected: ${problem}`, () => {
    expect(check(override)).toEqual([`2.yaml:1: ${problem}`]);
  });
}
