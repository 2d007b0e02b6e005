import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { rankNamesByRendezvous } from "./rendezvous.ts";

const members = fc.uniqueArray(fc.string(), { minLength: 1, maxLength: 20 });

test("the choice does not depend on the order of the members", () => {
  fc.assert(fc.property(fc.string(), members, (subject, names) => {
    const sorted = rankNamesByRendezvous(subject, [...names].sort());
    expect(rankNamesByRendezvous(subject, names)).toEqual(sorted);
  }));
});

test("a member that leaves moves only its own share", () => {
  fc.assert(fc.property(fc.string(), members, (subject, names) => {
    const [gone, ...rest] = rankNamesByRendezvous(subject, names);
    const remaining = names.filter((name) => name !== gone);
    expect(rankNamesByRendezvous(subject, remaining)).toEqual(rest);
  }));
});

test("subjects spread over the members", () => {
  const names = Array.from({ length: 45 }, (_, index) => `entry-${index}`);
  const counts = new Map<string, number>();
  for (let subject = 0; subject < 4_500; subject += 1) {
    const [first = ""] = rankNamesByRendezvous(`replica-${subject}`, names);
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  expect(counts.size).toEqual(45);
  expect(Math.max(...counts.values()) < 200).toEqual(true);
});
