/**
 * The schema of the process settings.
 */
import { z } from "zod";
import {
  address,
  milliseconds,
  name,
  nonNegativeInteger,
  positiveInteger,
} from "./primitives.ts";

// Shorter secrets can be recovered from recorded datagrams by brute force.
const MIN_SECRET_LENGTH = 16;

// A fifth of the lease duration is the margin in which a holder that loses its
// lease must finish its order. Orders take up to one second.
const MIN_LEASE_DURATION_MS = 6_000;

const secret = z.union([
  z.strictObject({ value: z.string() }),
  z.strictObject({ file: z.string().min(1) }),
], { error: 'must be a map with either "value" or "file"' })
  .meta({ title: "map with `value` (text) or `file` (path)" });

/** Schema of a secret's text, after its file has been read. */
export const secretTextSchema = z.string().min(MIN_SECRET_LENGTH, {
  error: `must have at least ${MIN_SECRET_LENGTH} characters`,
});

const listeners = z.strictObject({
  callers: address.describe("Listener for callers (HTTP)."),
  peers: address
    .describe("Listener for peers: HTTP over TCP, and UDP at the same port."),
  operators: address.describe("Listener for operators (HTTP)."),
});

const shutdown = z.strictObject({
  balancerDelay: nonNegativeInteger.default(5_000).describe(
    "Time between failing readiness and closing the listeners, in which the " +
      "balancer stops sending requests, milliseconds.",
  ),
  requestLimit: milliseconds.default(600_000).describe(
    "Maximum time for requests in progress to complete, milliseconds.",
  ),
  limit: milliseconds.default(60_000).describe(
    "Maximum time after that for storing the outcomes of orders, milliseconds.",
  ),
});

const vm = z.strictObject({
  memory: z.exactOptional(positiveInteger).describe(
    "Memory of the VM, bytes; callers' bodies get a share of it. When absent, " +
      "what the operating system states.",
  ),
  descriptors: z.exactOptional(positiveInteger).describe(
    "Descriptors that the process may open; each listener's connections get a " +
      "share of them. When absent, the limit of the process.",
  ),
});

const seed = z.strictObject({
  address: address.describe("Peer listener of the other daemon."),
  availabilityZone: name.describe("Availability zone of the other daemon."),
});

export const processSchema = z.strictObject({
  name: name.describe("Name of the process; unique in the fleet."),
  availabilityZone: name.describe("Availability zone of the process."),
  region: name.describe("Region of the process."),
  listeners: listeners.describe("Addresses that the process listens on."),
  platform: address.describe("Address of the platform's store."),
  seeds: z.array(seed).default([])
    .describe("Peer listeners of other daemons, for the first contact."),
  peerSecret: secret
    .describe("Key for datagrams and calls between daemons: value or file."),
  operatorToken: secret
    .describe("Bearer token of the operators' listener: value or file."),
  bootstrapFolder: z.exactOptional(z.string().min(1)).describe(
    "Operators' folder that is used until the platform has a head, and " +
      "while the duty `configuration` is off. Relative to the settings file.",
  ),
  logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"])
    .default("info").describe("Lowest level of log lines."),
  shutdown: shutdown.prefault({}).describe(
    "Time limits of a graceful shutdown.",
  ),
  vm: vm.prefault({}).describe("The VM that the process runs on."),
  leaseDuration: milliseconds.min(MIN_LEASE_DURATION_MS).default(15_000)
    .describe(
      "Time after which another daemon takes over the work of one that no " +
        "longer renews its lease, milliseconds. The same for all daemons.",
    ),
});
