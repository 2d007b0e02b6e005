/**
 * The schema of the operators' configuration: keys, types, defaults and
 * descriptions. `docs/configuration.md` is generated from it.
 */
import { z } from "zod";
import {
  address,
  fraction,
  mapOf,
  milliseconds,
  name,
  nonNegativeInteger,
  percent,
  positiveInteger,
  positiveNumber,
} from "./primitives.ts";

const KEY_HASH = /^[0-9a-f]{64}$/;
const METHOD = /^[A-Z]+$/;

const region = z.strictObject({
  availabilityZones: z.array(name).min(1)
    .describe("Availability zones of the region."),
});

const link = z.strictObject({
  bytesPerSecond: positiveNumber.default(2_500_000)
    .describe("Capacity in each direction, bytes per second (20 Mbit/s)."),
  share: fraction.default(0.5)
    .describe("Fraction of the capacity that the system may use, 0 to 1."),
  oneWayMilliseconds: z.number().min(0).default(10)
    .describe("One-way latency between regions, milliseconds."),
});

const replica = z.strictObject({
  address: address.describe("IP address and port of the engine."),
  availabilityZone: name.describe("Availability zone of the engine."),
  slots: positiveInteger.default(8)
    .describe(
      "Concurrent requests that the replica runs without slowing down.",
    ),
  prefillTokensPerSecond: positiveNumber.default(8_000)
    .describe("Prompt tokens per second that the replica processes."),
});

const modelGroup = z.strictObject({
  weights: name.describe("Weight version that new requests use."),
  checksFencing: z.boolean().default(false).describe(
    "True when the replicas reject a command with a stale fencing token.",
  ),
  tokensPerBlock: positiveInteger.default(2_000)
    .describe("Size of a KV cache block, tokens."),
  replicas: mapOf(replica).default({}).describe("Replicas by name."),
  parallelLoads: positiveInteger.default(2)
    .describe("Replicas that may load weights concurrently, at least 1."),
  minimumReady: nonNegativeInteger.default(1).describe(
    "Replicas that must stay ready during a rollout; less than the number of replicas.",
  ),
  caches: z.array(name).default([])
    .describe("Cache groups that keep the group's blocks, nearest first."),
});

const cacheVm = z.strictObject({
  address: address.describe("IP address and port of the store VM."),
  availabilityZone: name.describe("Availability zone of the store VM."),
  bytesPerSecond: positiveNumber.default(125_000_000)
    .describe("Bandwidth of the store VM, bytes per second."),
});

const cacheGroup = z.strictObject({
  vms: mapOf(cacheVm).default({}).describe("Store VMs by name."),
});

const pathRule = z.strictObject({
  prefix: z.string().startsWith("/")
    .describe(
      'Prefix of the path behind the service\'s name, such as "/orders".',
    ),
  methods: z.array(
    z.string().regex(METHOD, { error: "must be upper case" }),
  )
    .min(1).describe("HTTP methods that the rule applies to, in upper case."),
  idempotent: z.boolean()
    .describe("True when a call may safely be sent more than once."),
});

const service = z.strictObject({
  addresses: z.array(address).min(1)
    .describe("IP addresses and ports of the service's processes."),
  checksFencing: z.boolean().default(false).describe(
    "True when the service rejects a call with a stale fencing token.",
  ),
  paths: z.array(pathRule).default([]).describe(
    "Rules on safe retries. The first that matches decides; otherwise GET, " +
      "HEAD, OPTIONS, PUT and DELETE are idempotent, POST and PATCH are not.",
  ),
  timeout: milliseconds.default(30_000)
    .describe("Timeout of a whole call, milliseconds."),
});

const customer = z.strictObject({
  keyHashes: z.array(
    z.string().regex(KEY_HASH, {
      error: "must be a SHA-256 in 64 lower-case hex digits",
    }),
  ).default([]).describe("SHA-256 of each API key, in lower-case hex."),
  share: positiveNumber.default(1).describe("Weight in fair queuing."),
  models: z.exactOptional(z.array(name))
    .describe("Model groups that the customer may use; all when absent."),
  services: z.exactOptional(z.array(name))
    .describe("Services that the customer may use; all when absent."),
  barredZones: z.array(name).default([]).describe(
    "Availability zones where the customer's work must not run.",
  ),
  concurrency: positiveInteger.default(32)
    .describe("Maximum concurrent requests over all daemons."),
  requestsPerSecond: positiveNumber.default(50)
    .describe("Requests per second over all daemons."),
  disabled: z.boolean().default(false)
    .describe("True rejects all requests of the customer."),
});

const dutyRule = z.strictObject({
  duty: z.enum([
    "chat",
    "services",
    "orders",
    "cache",
    "rollouts",
    "configuration",
  ]).describe("Duty that the rule switches on or off."),
  on: z.boolean().describe("Whether the system performs the duty."),
  route: z.exactOptional(name)
    .describe("Model group or service that the rule is limited to."),
  customer: z.exactOptional(name)
    .describe("Customer that the rule is limited to."),
});

const limits = z.strictObject({
  requestBytes: positiveInteger.default(4_194_304)
    .describe("Largest request body, bytes (4 MiB)."),
  headersTimeout: milliseconds.default(10_000)
    .describe("Limit for a caller to send its headers, milliseconds."),
  bodyTimeout: milliseconds.default(30_000)
    .describe("Limit for a caller to send its body, milliseconds."),
  defaultPatience: milliseconds.default(60_000).describe(
    "Patience of a caller that sends no x-peridotvalve-patience-ms header, milliseconds.",
  ),
  queueLength: positiveInteger.default(256)
    .describe("Requests that may wait in one daemon."),
  firstTokenTimeout: milliseconds.default(10_000).describe(
    "Progress deadline of an attempt up to its first token, milliseconds.",
  ),
  betweenTokensTimeout: milliseconds.default(2_000)
    .describe("Progress deadline between tokens, milliseconds."),
  maxTokens: positiveInteger.default(4_096)
    .describe("Largest number of tokens of one response."),
});

const policy = z.strictObject({
  placement: z.enum([
    "estimate",
    "random",
    "round-robin",
    "least-load",
    "sticky",
  ]).default("estimate").describe("How a replica is chosen."),
  retryPercent: percent.default(10)
    .describe("Allowed retries per 100 first attempts."),
  hedgePercent: percent.default(5)
    .describe("Allowed hedged attempts per 100 first attempts."),
});

export const configurationSchema = z.strictObject({
  regions: mapOf(region).describe("Regions by name."),
  link: link.prefault({}).describe("The link between regions."),
  groups: mapOf(modelGroup).default({})
    .describe("Model groups by the name of their model."),
  caches: mapOf(cacheGroup).default({}).describe("Cache groups by name."),
  services: mapOf(service).default({}).describe("Plain services by name."),
  customers: mapOf(customer).default({}).describe("Customers by name."),
  duties: z.array(dutyRule).default([]).describe(
    "Switches of duties. The most specific rule wins, then the last.",
  ),
  legacy: z.exactOptional(z.strictObject({
    address: address.describe("IP address and port of the legacy system."),
  })).describe("The system that serves duties that are off."),
  limits: limits.prefault({}).describe("Limits of requests."),
  policy: policy.prefault({}).describe("Placement, retries and hedges."),
});
