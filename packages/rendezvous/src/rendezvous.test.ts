import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  findRendezvousHome,
  rankByRendezvous,
  rankWithBoundedLoad,
  type RendezvousMember,
} from "./rendezvous.ts";

const KEYS = Array.from({ length: 200 }, (_, index) => `conversation-${index}`);

function makeMembers(count: number, weight = 1): readonly RendezvousMember[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `replica-${index}`,
    weight,
  }));
}

type FindHome = (
  key: string,
  members: readonly RendezvousMember[],
) => RendezvousMember | undefined;

/** Counts keys that move although the removed member was not their home. */
function countNeedlessMoves(findHome: FindHome, count: number): number {
  const all = makeMembers(count + 1);
  const changed = all[Math.floor(count / 2)]!;
  const rest = all.filter((member) => member !== changed);
  return KEYS.filter((key) => {
    const before = findHome(key, all);
    return before !== changed && before !== findHome(key, rest);
  }).length;
}

test("only keys of the changed member move", () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), (count) => {
    expect(countNeedlessMoves(findRendezvousHome, count)).toEqual(0);
  }));
});

test("the movement check fails for modulo hashing", () => {
  const byRemainder: FindHome = (key, members) =>
    members[Number(key.split("-")[1]) % members.length];
  expect(countNeedlessMoves(byRemainder, 10) > 0).toEqual(true);
});

test("the ranking begins with the home and does not depend on input order", () => {
  const members = makeMembers(12);
  for (const key of KEYS) {
    const ranked = rankByRendezvous(key, members);
    expect(ranked[0]).toEqual(findRendezvousHome(key, members));
    expect(rankByRendezvous(key, members.toReversed())).toEqual(ranked);
  }
});

test("a member with three times the weight gets about three times the keys", () => {
  const members = [...makeMembers(5), { name: "large", weight: 3 }];
  const keys = Array.from({ length: 8_000 }, (_, index) => `k${index}`);
  const homes = keys.map((key) => findRendezvousHome(key, members)?.name);
  const large = homes.filter((name) => name === "large").length;
  expect(Math.abs(large / 8_000 - 3 / 8) < 0.03).toEqual(true);
});

test("bounded load keeps every member within its bound", () => {
  const members = makeMembers(7);
  const counts = new Map<string, number>();
  const loadOf = (member: RendezvousMember) => counts.get(member.name) ?? 0;
  for (const key of KEYS) {
    // Without the bound, the hot key would load only one member.
    const hot = key.endsWith("5") ? "hot" : key;
    const [first] = rankWithBoundedLoad(hot, members, { loadOf, factor: 1.25 });
    counts.set(first!.name, loadOf(first!) + 1);
  }
  const bound = Math.ceil(1.25 * KEYS.length / members.length);
  expect(Math.max(...counts.values()) <= bound).toEqual(true);
});
