/**
 * The metric label of each reason that the gateway gives.
 */
import { expect } from "earl";
import { test } from "node:test";
import { classifyReason } from "./meters.ts";

// Guards against a reworded reason that counts under another label, because the
// label is found by searching the text. The texts also reach callers, in the
// field `error` of a refusal.
test("each reason keeps its label", () => {
  const labels: Readonly<Record<string, string>> = {
    "no desired state": "no desired state",
    "header too long": "too long",
    "body too long": "too long",
    "too long": "too long",
    "no route": "no route",
    "unknown key": "unknown key",
    "broken off": "broken off",
    "no service": "no service",
    "the daemon stops": "stopping",
    "shutting down": "stopping",
    "too many small pieces": "small pieces",
    "timeout": "timeout",
    "silent": "silent",
    "ended within an event": "broken off",
    "resumed with 404": "not resumed",
    "resumed without events": "not resumed",
    "connection reset": "connection",
    "no replica": "no replica",
    "no replica, no room": "no room",
    "no replica, others are outside the allowed regions": "region",
    "no replica, no room, others are in evacuated zones": "evacuated",
    "no replica, too many wait": "too many wait",
    "silent, no retries left": "retry budget",
    "silent, no room": "no room",
    "answer to another request": "wrong answer",
    "answer to another request, no retries left": "retry budget",
    "refusal without a request id": "wrong answer",
    "success without a seal": "wrong answer",
    "replica answered 500": "replica failed",
    "replica answered 500, no retries left": "retry budget",
    "replica refused with 503": "replica refused",
    "replica refused with 503, no room": "no room",
    "replica refused with 503, too many wait": "too many wait",
    "connection reset, no retries left": "retry budget",
    "a prompt part crashes replicas": "crashing part",
    "a prompt part may crash replicas": "crashing part",
    "the request crashes replicas": "crashing request",
    "the request may crash replicas": "crashing request",
    "Connect Timeout Error (attempted address: 10.0.0.1:80, timeout: 1500ms)":
      "timeout",
    "Body Timeout Error": "connection",
    "other side closed": "connection",
  };
  const reasons = Object.keys(labels);
  expect(reasons.map(classifyReason)).toEqual(Object.values(labels));
});
