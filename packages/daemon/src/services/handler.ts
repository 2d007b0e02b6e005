/**
 * `/services/{service}/{path}` with any method.
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
import { passToLegacy } from "../callers/pass.ts";
import { receive, type Received, refuse } from "../callers/receive.ts";
import { type Exchange, readHeader, readPatience } from "../http/exchange.ts";
import { listEndToEnd } from "../http/headers.ts";
import { sendBytes } from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";
import { callRepeatable, type ServiceWork } from "./call.ts";
import { runOrder } from "./order.ts";
import {
  isIdempotent,
  leavesService,
  parseTarget,
  type Target,
} from "./rules.ts";

const IDEMPOTENCY_HEADER = "idempotency-key";
const LONGEST_KEY = 256;
const CUSTOMER_HEADER = "x-peridotvalve-customer";
const REQUEST_HEADER = "x-request-id";

// The API key is between the caller and this system. A service learns the
// customer from a header that callers cannot set.
const NOT_FORWARDED: ReadonlySet<string> = new Set([
  "authorization",
  CUSTOMER_HEADER,
  REQUEST_HEADER,
  CLOCK_HEADER,
]);

export async function handleService(
  runtime: Runtime,
  exchange: Exchange,
): Promise<void> {
  const target = parseTarget(exchange.request.url ?? "");
  if (target === undefined) {
    return refuse(runtime, exchange, unknownService());
  }
  const received = await receive(runtime, exchange);
  if (received.isErr()) return refuse(runtime, exchange, received.error);
  const { configuration, identity, body } = received.value;
  const { content } = configuration;
  const method = exchange.request.method ?? "GET";
  const call = { method, path: target.path };
  const isRepeatable = isIdempotent(content.services[target.service], call);
  const question = {
    duty: isRepeatable ? "services" : "orders",
    route: target.service,
    customer: identity.isOk() ? identity.value.name : "",
  } as const;
  // The legacy system judges what it serves, also keys and services that are
  // unknown here.
  if (!isDutyOn(content, question)) {
    return await passToLegacy(runtime, exchange, body);
  }
  const prepared = prepare(received.value, target);
  if (prepared.isErr()) return refuse(runtime, exchange, prepared.error);
  const customer = prepared.value.identity.name;
  const patience = readPatience(exchange, content.limits.defaultPatience);
  const work = {
    request: exchange.id,
    customer,
    service: target.service,
    call: toCall(exchange, { target, customer, body }),
    timeout: prepared.value.service.timeout,
    deadline: exchange.arrived + patience,
    signal: exchange.signal,
  };
  const answer = isRepeatable
    ? await admitted(runtime, work, () => callRepeatable(runtime, work))
    : await order(runtime, exchange, work);
  if (answer.isErr()) return refuse(runtime, exchange, answer.error);
  sendBytes(exchange, toResponse(answer.value));
  const elapsed = runtime.clock.monotonic() - exchange.arrived;
  const { status } = answer.value;
  const subject = { request: exchange.id, customer };
  runtime.log("request_finished", { status, elapsed, tokens: 0 }, subject);
}

interface Prepared {
  readonly identity: Identity;
  readonly service: Service;
}

function prepare(
  { configuration, identity }: Received,
  target: Target,
): Result<Prepared, Failure> {
  if (identity.isErr()) return identity;
  const { content } = configuration;
  const service = content.services[target.service];
  const allowed = identity.value.customer.services;
  if (service === undefined || !(allowed?.includes(target.service) ?? true)) {
    return Err(unknownService());
  }
  if (leavesService(target.path)) return Err(leavingPath());
  return Ok({ identity: identity.value, service });
}

function leavingPath(): Failure {
  return {
    code: "invalid_request",
    ran: "no",
    message: "the path leads out of the service",
  };
}

function unknownService(): Failure {
  return {
    code: "service_not_found",
    ran: "no",
    message: "the service does not exist",
  };
}

async function order(
  runtime: Runtime,
  exchange: Exchange,
  work: ServiceWork,
): Promise<Result<ServiceResponse, Failure>> {
  const idempotencyKey = readHeader(exchange, IDEMPOTENCY_HEADER);
  if (!idempotencyKey || idempotencyKey.length > LONGEST_KEY) {
    return Err({
      code: "idempotency_key_required",
      ran: "no",
      message: "this call needs an Idempotency-Key header of at most " +
        `${LONGEST_KEY} characters`,
      param: IDEMPOTENCY_HEADER,
    });
  }
  return await admitted(
    runtime,
    work,
    () => runOrder(runtime, { ...work, idempotencyKey }),
    "order",
  );
}

/** Runs the work under a permit of the service's admission. */
async function admitted(
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
  const { queuedFor: queued } = permit.value;
  runtime.meters.queueWait.record(queued, { route: work.service });
  const begun = runtime.clock.monotonic();
  const answer = await run();
  permit.value.finish({
    latency: runtime.clock.monotonic() - begun,
    expected: ASSUMED_SERVICE_MILLISECONDS,
    overloaded: answer.isErr() && answer.error.code === "upstream_timeout",
  });
  return answer;
}

// Plain services answer look-ups and bookings within tens of milliseconds.
const ASSUMED_SERVICE_MILLISECONDS = 50;

function toCall(
  exchange: Exchange,
  parts: {
    readonly target: Target;
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
  headers[REQUEST_HEADER] = exchange.id;
  return {
    method: exchange.request.method ?? "GET",
    path: parts.target.path,
    headers,
    body: parts.body,
  };
}

function toResponse(answer: ServiceResponse): ServiceResponse {
  const headers = Object.entries(answer.headers)
    .filter(([name]) => isEndToEndHeader(name) && name !== REQUEST_HEADER);
  return { ...answer, headers: Object.fromEntries(headers) };
}
