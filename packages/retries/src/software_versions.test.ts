import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import {
  createSoftwareVersions,
  RENEWAL_TIME,
  type SoftwareRecord,
  soleVersion,
  USAGE_TIME,
} from "./software_versions.ts";

const SERVICE = "llm";
const LIFETIME = 30_000;
const REMOVAL_DELAY = USAGE_TIME + 2 * LIFETIME;
const ABSENCE = 10_000;

function setUp() {
  const clock = createManualClock();
  let marks = 0;
  const versions = createSoftwareVersions({
    ...{ clock, usageClock: clock, lifetime: LIFETIME },
    createMark: () => `mark-${marks += 1}`,
  });
  const see = (...present: readonly string[]) =>
    versions.observe(SERVICE, new Set(present));
  /** Reads the record now; returns what is to be written. */
  function read(
    record: SoftwareRecord | undefined,
    { isRemover = true, isOutdated = false } = {},
  ) {
    if (record !== undefined && !isOutdated) {
      versions.confirm(SERVICE, record, versions.now());
    }
    return versions.revise(SERVICE, record, { isRemover, isOutdated });
  }
  const stateOf = (software: string) => versions.stateOf(SERVICE, software);
  return { clock, versions, see, read, stateOf };
}

const recordOf = (...versions: readonly string[]): SoftwareRecord => ({
  versions: versions.map((software) => ({ software })),
});

// Guards against ORDER: a daemon that has just started begins streams at the only
// listed version, which the record may not name.
test("streams begin only at versions that the record names", () => {
  const { see, read, stateOf, versions } = setUp();
  see("v1", "v2");
  expect(stateOf("v1")).toEqual("pending");
  expect(read(recordOf("v1"))).toEqual(recordOf("v1", "v2"));
  expect([stateOf("v1"), stateOf("v2")]).toEqual(["recorded", "pending"]);
  expect(read(recordOf("v1", "v2"))).toEqual(undefined);
  expect(stateOf("v2")).toEqual("recorded");
  see("v1");
  see("v1", "v2");
  expect(stateOf("v2")).toEqual("pending");
  expect(versions.isDue(SERVICE)).toEqual(true);
});

test("what was read counts for a limited time", async () => {
  const { clock, see, read, stateOf, versions } = setUp();
  see("v1");
  read(recordOf("v1"));
  await clock.advance(USAGE_TIME);
  expect(stateOf("v1")).toEqual("pending");
  versions.recordFailure(SERVICE);
  expect(stateOf("v1")).toEqual("recorded");
  expect(stateOf("v2")).toEqual("unknown");
  // A failure of long ago does not show that the store cannot be reached.
  await clock.advance(5_000);
  expect(stateOf("v1")).toEqual("pending");
});

test("a new record is complete after a time", async () => {
  const { clock, see, read } = setUp();
  see("v1");
  const first = read(undefined);
  if (first === undefined) throw new Error("no record is written");
  expect(soleVersion(first)).toEqual(undefined);
  expect(read(first)).toEqual(undefined);
  await clock.advance(RENEWAL_TIME - 1);
  expect(read(first)).toEqual(undefined);
  await clock.advance(1);
  const complete = read(first);
  expect(complete && soleVersion(complete)).toEqual("v1");
});

test("a version that has left counts for the lifetime of its streams", async () => {
  const { clock, see, read } = setUp();
  see("v1", "v2");
  read(recordOf("v1", "v2"));
  see("v2");
  await clock.advance(ABSENCE - 1);
  expect(read(recordOf("v1", "v2"))).toEqual(undefined);
  await clock.advance(1);
  const marked = read(recordOf("v1", "v2"));
  if (marked === undefined) throw new Error("the version is not marked");
  expect(marked.versions.length).toEqual(2);
  expect(read(marked)).toEqual(undefined);
  await clock.advance(REMOVAL_DELAY - 1);
  expect(read(marked)).toEqual(undefined);
  await clock.advance(1);
  expect(read(marked, { isRemover: false })).toEqual(undefined);
  expect(read(marked)).toEqual(recordOf("v2"));
});

// Guards against ORDER: a version is removed while a daemon uses it.
test("a daemon that uses a version takes its mark off", async () => {
  const { clock, see, read, stateOf } = setUp();
  const marked = { versions: [{ software: "v1", leaving: "other/1" }] };
  see("v1");
  expect(read(marked)).toEqual(recordOf("v1"));
  expect(stateOf("v1")).toEqual("pending");
  // A mark of its own counts from when it was seen first.
  see();
  read(marked);
  await clock.advance(REMOVAL_DELAY - 1);
  read({ versions: [{ software: "v1", leaving: "other/2" }] });
  await clock.advance(1);
  expect(read(marked)).toEqual(undefined);
});

// Guards against ORDER: a mark that was taken off is back with the copy of the
// store, and the version is removed at once.
test("a record of an earlier era is written anew without its marks", () => {
  const { see, read, stateOf } = setUp();
  see("v1");
  const marked = {
    versions: [{ software: "v1" }, { software: "v2", leaving: "other/1" }],
  };
  const renewed = read(marked, { isOutdated: true });
  expect(renewed?.versions).toEqual(recordOf("v1", "v2").versions);
  expect(renewed && soleVersion(renewed)).toEqual(undefined);
  expect(stateOf("v1")).toEqual("pending");
});
