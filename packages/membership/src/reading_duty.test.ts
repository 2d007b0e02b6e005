import { expect } from "earl";
import { test } from "node:test";
import { createReadingDuty } from "./reading_duty.ts";

const duty = createReadingDuty({
  readers: 2,
  silenceLimit: 1_500,
  random: () => 0.5,
});

test("the first readers always read, the others only after a silence", () => {
  expect(duty.isDue(0, 0)).toEqual(true);
  expect(duty.isDue(1, 0)).toEqual(true);
  expect(duty.isDue(2, 1_500)).toEqual(false);
  expect(duty.isDue(2, 1_600)).toEqual(true);
});

// Guards against a zone whose daemons all call the store at the same moment
// when its readers fail.
test("daemons take over one after the other", () => {
  const due = (age: number) =>
    Array.from({ length: 33 }, (_, rank) => duty.isDue(rank, age))
      .filter((isDue) => isDue).length;
  expect(due(1_500)).toEqual(2);
  expect(due(1_600)).toEqual(3);
  expect(due(1_900)).toEqual(5);
  expect(due(3_000)).toEqual(33);
});
