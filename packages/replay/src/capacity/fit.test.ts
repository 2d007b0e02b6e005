import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fitLine } from "./fit.ts";
import { createPage } from "./page.ts";
import type { Slopes } from "./slopes.ts";

function readSlopes(): Slopes {
  const file = new URL(
    "../../../../docs/capacity_slopes.json",
    import.meta.url,
  );
  return JSON.parse(readFileSync(file, "utf8")) as Slopes;
}

test("the fitted line has the slope and the intercept of its points", () => {
  const { slope, intercept } = fitLine([[1, 5], [2, 7], [10, 23]]);
  expect(Math.abs(slope - 2) < 1e-9).toEqual(true);
  expect(Math.abs(intercept - 3) < 1e-9).toEqual(true);
});

// Guards against a capacity page that does not mark a figure above its bound.
test("heartbeat traffic above its bound is marked", () => {
  const slopes = readSlopes();
  const heartbeats = slopes["heartbeats"]!;
  const results = [{ ...heartbeats.figures["results"].at(-1) }];
  results[0].bytesPerSecond = 13_000;
  const changed = {
    ...slopes,
    heartbeats: { ...heartbeats, figures: { results } },
  };
  expect(createPage(slopes).includes("13.0, does not fit")).toEqual(false);
  expect(createPage(changed)).toInclude("13.0, does not fit");
});
