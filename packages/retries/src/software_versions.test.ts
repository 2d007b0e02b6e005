import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import {
  createSoftwareVersions,
  CREATION_TIME,
  OUTAGE_TIME,
  removalDelay,
  type SoftwareRecord,
  USAGE_TIME,
} from "./software_versions.ts";

const SERVICE = "llm";
const LIFETIME = 30_000;
const REMOVAL_DELAY = removalDelay(LIFETIME);
const ERA = 3;
const ABSENCE = 10_000;

function setUp() {
  const clock = createManualClock();
  let marks = 0;
  const versions = createSoftwareVersions({
    ...{ clock, suspendAwareClock: clock, lifetime: LIFETIME },
    createMark: () => `mark-${marks += 1}`,
  });
  const see = (...present: readonly string[]) =>
    versions.observe(SERVICE, new Set(present));
  /** Reads the record now; returns what is to be written. */
  function read(
    record: SoftwareRecord | undefined,
    { isRemover = true } = {},
  ) {
    if (record?.era === ERA) {
      versions.confirm(SERVICE, record, versions.now());
    }
    return versions.revise(SERVICE, record, { isRemover, era: ERA });
  }
  const soleOf = (record: SoftwareRecord) =>
    versions.soleOf(SERVICE, record, ERA);
  const stateOf = (software: string) => versions.stateOf(SERVICE, software);
  return { clock, versions, see, read, stateOf, soleOf };
}

const recordOf = (...versions: readonly string[]): SoftwareRecord => ({
  era: ERA,
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
  versions.reportFailure(SERVICE);
  expect(stateOf("v1")).toEqual("recorded");
  expect(stateOf("v2")).toEqual("unknown");
  // A failure of long ago does not show that the store cannot be reached.
  await clock.advance(5_000);
  expect(stateOf("v1")).toEqual("pending");
  await clock.advance(OUTAGE_TIME - 5_000);
  versions.reportFailure(SERVICE);
  expect(stateOf("v1")).toEqual("unknown");
});

test("a new record is complete after a time", async () => {
  const { clock, see, read, soleOf } = setUp();
  see("v1");
  const first = read(undefined);
  if (first === undefined) throw new Error("no record is written");
  expect(soleOf(first)).toEqual(undefined);
  expect(read(first)).toEqual(undefined);
  await clock.advance(CREATION_TIME - 1);
  expect(read(first)).toEqual(undefined);
  await clock.advance(1);
  const complete = read(first);
  expect(complete && soleOf(complete)).toEqual("v1");
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
  const mark = (leaving: string): SoftwareRecord => ({
    era: ERA,
    versions: [{ software: "v1", leaving }],
  });
  const marked = mark("other/1");
  see("v1");
  expect(read(marked)).toEqual(recordOf("v1"));
  expect(stateOf("v1")).toEqual("pending");
  // A mark of its own counts from when it was seen first.
  see();
  read(marked);
  await clock.advance(REMOVAL_DELAY - 1);
  read(mark("other/2"));
  await clock.advance(1);
  expect(read(marked)).toEqual(undefined);
});

// Guards against ORDER: a copy of the store lacks a version, or has a mark back
// that was taken off.
test("a record of an earlier era is replaced by all that is known", async () => {
  const { clock, versions, see, read, stateOf, soleOf } = setUp();
  see("v1", "v2");
  read(recordOf("v1", "v2", "v3"));
  see("v1");
  versions.forget();
  expect(stateOf("v1")).toEqual("pending");
  const copied: SoftwareRecord = {
    era: ERA - 1,
    versions: [{ software: "v1" }, { software: "v4", leaving: "other/1" }],
  };
  expect(soleOf({ ...recordOf("v1"), era: ERA - 1 })).toEqual(undefined);
  const renewed = read(copied);
  expect(renewed?.versions).toEqual(
    recordOf("v1", "v4", "v2", "v3").versions,
  );
  expect(renewed?.renewal?.time).toEqual(REMOVAL_DELAY);
  // Another daemon may have written less.
  expect(soleOf(recordOf("v1"))).toEqual(undefined);
  await clock.advance(REMOVAL_DELAY);
  expect(soleOf(recordOf("v1"))).toEqual("v1");
});

// Guards against ORDER: an answer from before the return of the store is taken for
// what it holds now.
// Guards against ORDER: after the return of a store, a daemon that has just started
// writes the first record, and the others add only what their replicas have now.
test("a first record after a return gets the versions that others remember", () => {
  const { versions, see, read, soleOf } = setUp();
  see("v1", "v2");
  read(recordOf("v1", "v2"));
  see("v1");
  versions.forget();
  const renewal = { mark: "other", time: CREATION_TIME };
  const first = { ...recordOf("v1"), renewal };
  const revised = read(first);
  expect(revised).toEqual({ ...recordOf("v1", "v2"), renewal });
  expect(revised && soleOf(revised)).toEqual(undefined);
});

test("an answer to a question from before a return says nothing", async () => {
  const { clock, versions, see, stateOf } = setUp();
  see("v1");
  const askedAt = versions.now();
  await clock.advance(10);
  versions.forget();
  versions.confirm(SERVICE, recordOf("v1"), askedAt);
  expect(stateOf("v1")).toEqual("pending");
});
