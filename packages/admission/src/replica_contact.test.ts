import { createManualClock } from "@peridotvalve/clock";
import { expect } from "earl";
import { test } from "node:test";
import { createReplicaContact } from "./replica_contact.ts";

async function setUp() {
  const clock = createManualClock();
  const contact = createReplicaContact(clock);
  await clock.advance(5_000);
  contact.recordReceived();
  return { clock, contact };
}

// Guards against RECOVER: a daemon that reaches no replica goes on to take
// requests and lets them fail.
test("a daemon without data is lost while its neighbors have some", async () => {
  const { clock, contact } = await setUp();
  await clock.advance(1_000);
  contact.recordPeerReceived(100);
  expect([contact.mayBeLost(1), contact.mayBeLost(2)]).toEqual([false, true]);
  expect(contact.isLost()).toEqual(false);
  contact.recordFailedProbe();
  expect(contact.isLost()).toEqual(true);
  contact.recordReceived();
  expect(contact.isLost()).toEqual(false);
});

// Guards against daemons that all stop taking requests as the replicas pause.
test("replicas that pause for everyone are not lost", async () => {
  const { clock, contact } = await setUp();
  await clock.advance(300);
  contact.recordPeerReceived(0);
  await clock.advance(1_000);
  contact.recordPeerReceived(1_000);
  expect(contact.mayBeLost(5)).toEqual(false);
});

test("a lost daemon takes requests again when its neighbors fail too", async () => {
  const { clock, contact } = await setUp();
  await clock.advance(1_000);
  contact.recordPeerReceived(0);
  contact.recordFailedProbe();
  await clock.advance(1_400);
  expect(contact.isLost()).toEqual(true);
  await clock.advance(200);
  expect(contact.isLost()).toEqual(false);
});

test("a zone without data learns from another zone", async () => {
  const { clock, contact } = await setUp();
  await clock.advance(1_000);
  contact.recordZoneReceived(100);
  expect(contact.mayBeLost(2)).toEqual(true);
  // The neighbors learn of it; other zones only of the data of this one.
  expect([contact.age(), contact.zoneAge()]).toEqual([100, 1_000]);
});

test("a daemon that hears of no neighbor is not lost", async () => {
  const { clock, contact } = await setUp();
  await clock.advance(10_000);
  expect(contact.mayBeLost(5)).toEqual(false);
});
