/**
 * Which requests share a fingerprint.
 */
import type { DispatchRequest } from "@peridotvalve/dispatch";
import { expect } from "earl";
import { test } from "node:test";
import { fingerprintOf, type RequestContent } from "./request_fingerprint.ts";

const REQUEST = {
  ...{ id: "q", service: "shop", arrivedAt: 0, deadline: 5_000 },
  route: { name: "stock", host: "shop.example" },
  customer: { name: "kennel" },
} as unknown as DispatchRequest;
const CONTENT: RequestContent = {
  ...{ method: "POST", path: "/stock/?a=1", body: Buffer.from("size") },
};

// Guards against a repeated request that is not recognized, as its id, its
// deadline or its route's name has changed.
test("a repeated request has the same fingerprint", () => {
  const repeated = { ...REQUEST, id: "r", arrivedAt: 9, deadline: 7_000 };
  const renamed = { ...repeated.route, name: "supplies" };
  const first = fingerprintOf(REQUEST, CONTENT);
  expect(fingerprintOf({ ...repeated, route: renamed }, { ...CONTENT }))
    .toEqual(first);
  expect(/^[\w-]{6}\/[\w-]{16}$/.test(first)).toEqual(true);
});

// Guards against sound requests that are judged by the crashes of others.
test("requests that differ in their content have different fingerprints", () => {
  const prompt = { model: "m", promptTokens: 9, outputTokens: 9, parts: [] };
  const parts = [{ id: "a", tokens: 9 }];
  const other = { name: "owner" } as unknown as DispatchRequest["customer"];
  const { customer: _customer, ...anonymous } = REQUEST;
  const bare = { ...CONTENT, body: undefined };
  const others = [
    fingerprintOf(REQUEST, CONTENT),
    fingerprintOf(REQUEST, { ...CONTENT, method: "PUT" }),
    fingerprintOf(REQUEST, { ...CONTENT, path: "/stock/?a=2" }),
    fingerprintOf(REQUEST, { ...CONTENT, body: Buffer.from("sizes") }),
    fingerprintOf(REQUEST, bare),
    fingerprintOf({ ...REQUEST, service: "llm" }, CONTENT),
    fingerprintOf({ ...anonymous, ...(other && { customer: other }) }, CONTENT),
    fingerprintOf(anonymous, CONTENT),
    fingerprintOf({ ...REQUEST, prompt }, bare),
    fingerprintOf({ ...REQUEST, prompt: { ...prompt, parts } }, bare),
    fingerprintOf({ ...REQUEST, prompt: { ...prompt, model: "n" } }, bare),
  ];
  expect(new Set(others).size).toEqual(others.length);
  const empty = { ...CONTENT, body: Buffer.alloc(0) };
  expect(fingerprintOf(REQUEST, empty)).toEqual(fingerprintOf(REQUEST, bare));
});

// Guards against copies of a request that are told apart by what its caller
// states in headers, so that each may crash replicas anew.
test("what is said of the prompt does not count beside a body", () => {
  const prompt = { model: "m", promptTokens: 9, outputTokens: 9, parts: [] };
  const parts = [{ id: "a", tokens: 9 }];
  const copies = [
    fingerprintOf(REQUEST, CONTENT),
    fingerprintOf({ ...REQUEST, prompt: { ...prompt, model: "n" } }, CONTENT),
    fingerprintOf({ ...REQUEST, prompt: { ...prompt, parts } }, CONTENT),
  ];
  expect(new Set(copies).size).toEqual(1);
});
