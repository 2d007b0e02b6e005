// A client: one channel for each request, or a kept one through an agent.
import { request } from "node:http";
import { HOST, KEYS } from "./operator.mjs";

let count = 0;

/**
 * Sends a request; resolves with what the client saw. `status` is 0 when the
 * channel ended without an answer.
 */
export function send({ host, port }, options) {
  count += 1;
  const id = options.id ?? `r${process.pid}x${count}`;
  const { path, method = "POST", key = KEYS.kennel, deadline = 5_000 } =
    options;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let headers = {};
    const finish = (isComplete, error) => {
      clearTimeout(timer);
      resolve({
        ...{ id, status, headers, isComplete, error, sentAt },
        body: Buffer.concat(chunks).toString("latin1"),
        endedAt: performance.now(),
      });
    };
    const call = request({
      ...{ host, port, path, method, agent: options.agent ?? false },
      headers: {
        host: HOST,
        "Request-Id": id,
        "Deadline-Ms": String(deadline),
        Authorization: `Token ${key}`,
        ...options.headers,
      },
    }, (response) => {
      ({ statusCode: status, headers } = response);
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => finish(response.complete));
      response.on("error", (error) => finish(false, error.message));
      response.on("aborted", () => finish(false, "aborted"));
    });
    call.on("error", (error) => finish(false, error.message));
    const timer = setTimeout(
      () => call.destroy(new Error("time limit")),
      deadline,
    );
    call.end(options.body);
  });
}
