import { test } from "node:test";
import { expect } from "earl";
import { createCacheView } from "./cache_view.ts";

const SALT = "m@1";
const part = (id: string, tokens = 100) => ({ id, tokens });
const event = (id: string, tokens = 100) => ({ salt: SALT, part: id, tokens });

test("the holders of a part are those that have all of it", () => {
  const view = createCacheView();
  view.apply("a", event("p"));
  view.apply("b", event("p", 40));
  view.apply("c", event("p"));
  expect(view.holdersOf(SALT, part("p"))).toEqual(["a", "c"]);
  view.apply("c", event("p", 0));
  view.clear("a");
  expect(view.holdersOf(SALT, part("p"))).toEqual([]);
  expect(view.totalTokens("a")).toEqual(0);
});

// Guards against claims of parts that a replica has evicted unseen, when
// nobody follows its events.
test("a view drops what exceeds the memory of its holder", () => {
  const view = createCacheView({ memoryOf: () => 250 });
  view.expect("a", SALT, [part("p"), part("q")]);
  view.expect("a", SALT, [part("p")]);
  view.expect("a", SALT, [part("r")]);
  expect(view.hasPart("a", SALT, part("q"))).toEqual(false);
  expect(view.hasPart("a", SALT, part("p"))).toEqual(true);
  expect(view.totalTokens("a")).toEqual(200);
});

test("a part larger than the memory is the only one kept", () => {
  const view = createCacheView({ memoryOf: () => 50 });
  view.expect("a", SALT, [part("p"), part("q")]);
  expect(view.list("a")).toEqual([event("q")]);
});
