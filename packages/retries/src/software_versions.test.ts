import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createSoftwareVersions } from "./software_versions.ts";

const SERVICE = "llm";
const LIFETIME = 30_000;

function setUp() {
  const clock = createManualClock();
  const versions = createSoftwareVersions({ clock, lifetime: LIFETIME });
  const see = (...present: readonly string[]) =>
    versions.observe(SERVICE, new Set(present));
  return { clock, versions, see };
}

// Guards against ORDER: a daemon that has just started takes the only listed
// version for that of all streams.
test("the sole version is known only once the recorded ones are", async () => {
  const one = setUp();
  one.see("v1");
  expect(one.versions.sole(SERVICE)).toEqual(undefined);
  one.versions.recall(SERVICE, ["v1"]);
  expect(one.versions.sole(SERVICE)).toEqual("v1");
  const other = setUp();
  other.see("v1");
  await other.clock.advance(LIFETIME);
  other.see("v1");
  expect(other.versions.sole(SERVICE)).toEqual("v1");
});

test("a version that has left counts for the lifetime of its streams", async () => {
  const { clock, versions, see } = setUp();
  versions.recall(SERVICE, []);
  see("v1");
  await clock.advance(1_000);
  see("v2");
  expect([...versions.list(SERVICE)]).toEqual(["v1", "v2"]);
  await clock.advance(LIFETIME - 1_001);
  see("v2");
  expect(versions.sole(SERVICE)).toEqual(undefined);
  await clock.advance(1);
  expect(versions.sole(SERVICE)).toEqual("v2");
});

// Guards against a version that two daemons record for each other for good.
test("a recorded version that is not seen counts once", async () => {
  const { clock, versions, see } = setUp();
  see("v2");
  versions.recall(SERVICE, ["v1", "v2"]);
  expect([...versions.list(SERVICE)]).toEqual(["v1", "v2"]);
  await clock.advance(LIFETIME);
  see("v2");
  versions.recall(SERVICE, ["v1", "v2"]);
  expect([...versions.list(SERVICE)]).toEqual(["v2"]);
  see("v1", "v2");
  expect([...versions.list(SERVICE)]).toEqual(["v1", "v2"]);
});
