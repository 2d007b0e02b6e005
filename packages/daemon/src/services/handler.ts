/**
 * Handler of `/services/{service}/{path}` for all HTTP methods. Idempotent
 * calls are retried; all others run at most once and need an idempotency key.
 */
import type { Permit } from "@peridotvalve/admission";
import type { Failure } from "@peridotvalve/errors";
import { CLOCK_HEADER } from "@peridotvalve/events";
import type { Service } from "@peridotvalve/types";
import {
  isEndToEndHeader,
  type ServiceCall,
  type ServiceResponse,
} from "@peridotvalve/upstreams";
import { Err, Ok, type Result } from "ts-results-es";
import type { Identity } from "../callers/authentication.ts";
import { isDutyOn } from "../callers/duties.ts";
import { forwardToLegacy } from "../callers/forward.ts";
import {
  type ReceivedRequest,
  receiveRequest,
  refuse,
} from "../callers/receive.ts";
import { type Exchange, readHeader, readPatience } from "../http/exchange.ts";
import { listEndToEnd } from "../http/headers.ts";
import { sendBytes } from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";
import {
  escapesService,
  isIdempotent,
  parseTarget,
  type ServiceTarget,
} from "./idempotency.ts";
import { callIdempotent, type ServiceWork } from "./idempotent_call.ts";
import { runOrder } from "./order.ts";

const IDEMPOTENCY_HEADER = "idempotency-key";
const MAXIMUM_KEY_CHARACTERS = 256;
const CUSTOMER_HEADER = "x-peridotvalve-customer";
const REQUEST_ID_HEADER = "x-request-id";

// Services must not see the callers' API keys. They identify the customer by a
// header that is set here and that callers therefore cannot forge.
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  "authorization",
  CUSTOMER_HEADER,
  REQUEST_ID_HEADER,
  CLOCK_HEADER,
]);

/**
 * Serves a call to a plain service, or forwards it to the legacy system when
 * its duty is off. Always answers the exchange.
 */
export async function handleService(
  runtime: Runtime,
  exchange: Exchange,
): Promise<void> {
  const target = parseTarget(exchange.request.url ?? "");
  if (target === undefined) {
    return refuse(runtime, exchange, serviceNotFound());
  }
  const received = await receiveRequest(runtime, exchange);
  if (received.isErr()) return refuse(runtime, exchange, received.error);
  try {
    await serveCall(runtime, exchange, { target, received: received.value });
  } finally {
    received.value.release();
  }
}

async function serveCall(
  runtime: Runtime,
  exchange: Exchange,
  { target, received }: {
    readonly target: ServiceTarget;
    readonly received: ReceivedRequest;
  },
): Promise<void> {
  const { configuration, identity, body } = received;
  const { content } = configuration;
  const method = exchange.request.method ?? "GET";
  const call = { method, path: target.path };
  const isIdempotentCall = isIdempotent(content.services[target.service], call);
  const dutyQuery = {
    duty: isIdempotentCall ? "services" : "orders",
    route: target.service,
    customer: identity.isOk() ? identity.value.name : "",
  } as const;
  // Duties that are off are forwarded without validation: the legacy system may
  // know keys and services that are unknown here.
  if (!isDutyOn(content, dutyQuery)) {
    return await forwardToLegacy(runtime, exchange, body);
  }
  const authorized = authorize(received, target);
  if (authorized.isErr()) return refuse(runtime, exchange, authorized.error);
  const customer = authorized.value.identity.name;
  const patience = readPatience(exchange, content.limits.defaultPatience);
  const work = {
    request: exchange.id,
    customer,
    service: target.service,
    call: toCall(exchange, { target, customer, body }),
    timeout: authorized.value.service.timeout,
    deadline: exchange.arrivedAt + patience,
    signal: exchange.signal,
  };
  const answer = isIdempotentCall
    ? await runAdmitted(runtime, work, () => callIdempotent(runtime, work))
    : await handleOrder(runtime, exchange, work);
  if (answer.isErr()) return refuse(runtime, exchange, answer.error);
  sendBytes(exchange, toResponse(answer.value));
  const elapsed = runtime.clock.monotonic() - exchange.arrivedAt;
  const { status } = answer.value;
  const subject = { request: exchange.id, customer };
  runtime.log("request_finished", { status, elapsed, tokens: 0 }, subject);
}

interface AuthorizedCall {
  readonly identity: Identity;
  readonly service: Service;
}

function authorize(
  { configuration, identity }: ReceivedRequest,
  target: ServiceTarget,
): Result<AuthorizedCall, Failure> {
  if (identity.isErr()) return identity;
  const { content } = configuration;
  const service = content.services[target.service];
  const allowed = identity.value.customer.services;
  if (service === undefined || !(allowed?.includes(target.service) ?? true)) {
    return Err(serviceNotFound());
  }
  if (escapesService(target.path)) return Err(pathOutsideService());
  return Ok({ identity: identity.value, service });
}

function pathOutsideService(): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: "the path leads out of the service",
  };
}

function serviceNotFound(): Failure {
  return {
    code: "service_not_found",
    ran: "no",
    message: "the service does not exist",
  };
}

async function handleOrder(
  runtime: Runtime,
  exchange: Exchange,
  work: ServiceWork,
): Promise<Result<ServiceResponse, Failure>> {
  const idempotencyKey = readHeader(exchange, IDEMPOTENCY_HEADER);
  if (!idempotencyKey || idempotencyKey.length > MAXIMUM_KEY_CHARACTERS) {
    return Err({
      code: "idempotency_key_required",
      ran: "no",
      message: "this call needs an Idempotency-Key header of at most " +
        `${MAXIMUM_KEY_CHARACTERS} characters`,
      param: IDEMPOTENCY_HEADER,
    });
  }
  return await runAdmitted(
    runtime,
    work,
    () => runOrder(runtime, { ...work, idempotencyKey }),
    "order",
  );
}

/** Runs the work once the service's admission control has granted a permit. */
async function runAdmitted(
  runtime: Runtime,
  work: ServiceWork,
  run: () => Promise<Result<ServiceResponse, Failure>>,
  workClass: "order" | "advice" = "advice",
): Promise<Result<ServiceResponse, Failure>> {
  const permit: Result<Permit, Failure> = await runtime
    .admissionOf(work.service)
    .admit({
      customer: work.customer,
      workClass,
      serviceTime: ASSUMED_SERVICE_MILLISECONDS,
      patience: work.deadline - runtime.clock.monotonic(),
    }, work.signal);
  if (permit.isErr()) return permit;
  const { queuedFor } = permit.value;
  runtime.meters.queueWait.record(queuedFor, { route: work.service });
  const startedAt = runtime.clock.monotonic();
  const answer = await run();
  permit.value.finish({
    latency: runtime.clock.monotonic() - startedAt,
    expected: ASSUMED_SERVICE_MILLISECONDS,
    overloaded: answer.isErr() && answer.error.code === "upstream_timeout",
  });
  return answer;
}

// Plain services answer within tens of milliseconds, both reads and bookings.
const ASSUMED_SERVICE_MILLISECONDS = 50;

function toCall(
  exchange: Exchange,
  parts: {
    readonly target: ServiceTarget;
    readonly customer: string;
    readonly body: Buffer;
  },
): ServiceCall {
  const headers: Record<string, string> = {};
  for (const [name, value] of listEndToEnd(exchange.request.rawHeaders)) {
    const lower = name.toLowerCase();
    if (!NOT_FORWARDED.has(lower)) headers[lower] = value;
  }
  headers[CUSTOMER_HEADER] = parts.customer;
  headers[REQUEST_ID_HEADER] = exchange.id;
  return {
    method: exchange.request.method ?? "GET",
    path: parts.target.path,
    headers,
    body: parts.body,
  };
}

function toResponse(answer: ServiceResponse): ServiceResponse {
  const headers = Object.entries(answer.headers)
    .filter(([name]) => isEndToEndHeader(name) && name !== REQUEST_ID_HEADER);
  return { ...answer, headers: Object.fromEntries(headers) };
}
