import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { readConfiguration, toCanonicalText } from "./canonical.ts";
import { diffConfigurations } from "./difference.ts";
import { mergeFiles } from "./folder.ts";

const names = fc.stringMatching(/^[a-z][a-z0-9-]{0,8}$/);
const customers = fc.dictionary(
  names,
  fc.record({ share: fc.integer({ min: 1 }), disabled: fc.boolean() }),
);

function buildConfiguration(content: object) {
  const text = JSON.stringify({
    regions: { north: { availabilityZones: ["a"] } },
    ...content,
  });
  return mergeFiles("folder", [{ name: "1.yaml", text }]).unwrap();
}

test("the canonical text parses back to the same configuration", () => {
  fc.assert(fc.property(customers, (drawn) => {
    const content = buildConfiguration({ customers: drawn });
    const text = toCanonicalText(content);
    const again = readConfiguration(text).unwrap();
    expect(diffConfigurations(content, again)).toEqual([]);
    expect(toCanonicalText(again)).toEqual(text);
  }));
});

test("the order of keys does not change the canonical text", () => {
  const left = buildConfiguration({ customers: { x: {}, y: {} } });
  const right = buildConfiguration({ customers: { y: {}, x: {} } });
  expect(toCanonicalText(left)).toEqual(toCanonicalText(right));
});

test("a configuration is deeply frozen", () => {
  const content = buildConfiguration({
    customers: { x: { barredZones: ["a"] } },
  });
  expect(Object.isFrozen(content.customers.x?.barredZones)).toEqual(true);
  expect(Object.isFrozen(content.policy)).toEqual(true);
});

test("malformed or invalid stored text is a problem, not an exception", () => {
  for (const text of ["", "{", "[]", "null", '{"regions":{},"x":1}']) {
    expect(readConfiguration(text).isErr()).toEqual(true);
  }
});

test("a diff lists added, removed and changed paths", () => {
  const left = buildConfiguration({ customers: { x: { share: 1 }, y: {} } });
  const right = buildConfiguration({ customers: { x: { share: 2 }, z: {} } });
  const found = diffConfigurations(left, right)
    .map(({ kind, path }) => `${kind} ${path}`);
  expect(found).toEqual([
    "changed customers.x.share",
    "removed customers.y",
    "added customers.z",
  ]);
});
