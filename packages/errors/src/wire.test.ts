import { expect } from "earl";
import { test } from "node:test";
import { listFailureCodes } from "./failure.ts";
import { toErrorResponse } from "./wire.ts";

test("every code has an HTTP error status and the API's error body", () => {
  for (const code of listFailureCodes()) {
    const failure = { code, ran: "no", message: "m" } as const;
    const response = toErrorResponse(failure, "r-1");
    expect(response.status >= 400 && response.status < 600).toEqual(true);
    expect(response.body.error.request_id).toEqual("r-1");
    expect(response.body.error.code).toEqual(code);
  }
});

test("client libraries are told not to retry a request that may have been executed", () => {
  for (const ran of ["unknown", "yes"] as const) {
    const failure = { code: "upstream_failed", ran, message: "m" } as const;
    const response = toErrorResponse(failure, "r-2");
    expect(response.headers["x-should-retry"]).toEqual("false");
  }
});

test("the retry-after header is rounded up to whole seconds", () => {
  const failure = {
    code: "overloaded",
    ran: "no",
    message: "m",
    retryAfter: 1_001,
  } as const;
  expect(toErrorResponse(failure, "r-3").headers["retry-after"]).toEqual("2");
});
