import { expect } from "earl";
import { totalmem } from "node:os";
import { test } from "node:test";
import { readVmLimits } from "./vm.ts";

// Guards against settings that have no effect.
test("the settings state what a VM has", () => {
  const vm = { memory: 350_000_000, descriptors: 300 };
  expect(readVmLimits({ vm })).toEqual(vm);
});

// Guards against limits of a default that ordinary callers would meet.
test("without settings the system states what a VM has", () => {
  const { memory, descriptors } = readVmLimits({ vm: {} });
  expect(memory > 0 && memory <= totalmem()).toEqual(true);
  expect(descriptors >= 256).toEqual(true);
});
