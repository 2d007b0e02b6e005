import { expect } from "earl";
import { test } from "node:test";
import { isEndpoint } from "./endpoint.ts";
import { parseJson } from "./json_text.ts";

const nest = (depth: number) => "[".repeat(depth) + "]".repeat(depth);

// Guards against LOST: a deeply nested row ends the process that writes it out.
test("deeply nested text is refused", () => {
  expect(parseJson(nest(20_000))).toEqual(undefined);
  expect(parseJson(`{"a":${nest(65)},"b":"${"x".repeat(100)}"}`))
    .toEqual(undefined);
  expect(JSON.stringify(parseJson(nest(64)))).toEqual(nest(64));
});

test("brackets in strings do not count", () => {
  const text = JSON.stringify({ a: '["\\'.repeat(200), b: ["\\"] });
  expect(JSON.stringify(parseJson(text))).toEqual(text);
});

test("text that is not JSON gives no value", () => {
  expect(parseJson("{")).toEqual(undefined);
});

test("an endpoint is an address and a port in their ranges", () => {
  const valid = ["10.1.0.40:8005", "127.0.0.1:1", "127.0.0.1:65535"];
  const invalid = [
    ...["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:080"],
    ...["999.1.1.1:80", "1.2.3.4.5:80", "nowhere:80", "127.0.0.1", ":80", ""],
  ];
  expect(valid.filter((text) => !isEndpoint(text))).toEqual([]);
  expect(invalid.filter(isEndpoint)).toEqual([]);
});
