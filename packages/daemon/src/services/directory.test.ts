import { createSystemClock } from "@peridotvalve/clock";
import type { Configuration } from "@peridotvalve/types";
import { expect } from "earl";
import { test } from "node:test";
import { createServiceDirectory } from "./directory.ts";

// With one rotation shared by all services, calls that alternate between two
// services would always reach the same address of each.
test("alternating calls reach every address of each service", async () => {
  const directory = createServiceDirectory({
    clock: createSystemClock(),
    createHeaders: () => ({}),
  });
  directory.apply({
    services: {
      bookings: { addresses: ["127.0.0.1:1", "127.0.0.1:2"] },
      stock: { addresses: ["127.0.0.1:3", "127.0.0.1:4"] },
    },
  } as unknown as Configuration);
  const firsts = new Set<string | undefined>();
  for (let count = 0; count < 4; count += 1) {
    firsts.add(directory.list("bookings")[0]?.address);
    firsts.add(directory.list("stock")[0]?.address);
  }
  await directory.close();
  expect(firsts.size).toEqual(4);
});
