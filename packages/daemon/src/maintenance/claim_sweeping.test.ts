import { claimKey, createClaims } from "@peridotvalve/claims";
import { createManualClock } from "@peridotvalve/clock";
import { createMemoryPlatform } from "@peridotvalve/tables";
import { SECOND } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import { runClaimSweeping } from "./claim_sweeping.ts";

const CALL = { customer: "c", idempotencyKey: "k", fingerprint: "f" };

function setUp() {
  const clock = createManualClock();
  const platform = createMemoryPlatform({ clock });
  const acquired: string[] = [];
  const start = (holder: string) => {
    const stopped = new AbortController();
    void runClaimSweeping({
      ...{ clock, platform, holder },
      leaseDuration: 15 * SECOND,
      content: () => undefined,
      isReader: () => true,
      log(name) {
        if (name === "lease_acquired") acquired.push(holder);
      },
    }, stopped.signal);
    return stopped;
  };
  const pass = async (minutes: number) => {
    for (let count = 0; count < minutes * 60; count += 1) {
      await clock.advance(SECOND);
    }
  };
  const readState = async () => {
    const row = await platform.readRow(claimKey(CALL), SECOND);
    return (row.unwrap()?.value as { state?: string } | undefined)?.state;
  };
  return { clock, platform, acquired, start, pass, readState };
}

// Guards against claims that stay "claimed" indefinitely after their owner
// died, and against every daemon scanning the whole table.
test("one daemon settles abandoned claims, and another takes over", async () => {
  const { clock, platform, acquired, start, pass, readState } = setUp();
  const claims = createClaims({ platform, clock, owner: "dead" });
  const first = start("a");
  start("b");
  await pass(1);
  const [leader] = acquired;
  expect(acquired).toEqual(["a"]);
  const answer = await claims.claim(CALL);
  expect(answer.kind).toEqual("owned");
  await pass(4);
  expect(await readState()).toEqual("claimed");
  first.abort();
  await pass(2);
  expect(acquired).toEqual([leader ?? "", "b"]);
  // The second daemon measures the timeout from its first read of the claim.
  expect(await readState()).toEqual("claimed");
  await pass(6);
  expect(await readState()).toEqual("unknown");
});
