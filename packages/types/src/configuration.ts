/**
 * The operators' configuration after its files were merged and checked. One
 * immutable value of this type is in force in a daemon at a time.
 */
import type { Bytes, Milliseconds, Tokens } from "./units.ts";

/** A configuration together with its place in the order of changes. */
export interface VersionedConfiguration {
  /** Rises by one with each accepted change; 0 is the bootstrap folder's. */
  readonly version: number;
  /** Id of the change that made this version. */
  readonly change: string;
  readonly content: Configuration;
}

export interface Configuration {
  readonly regions: Readonly<Record<string, Region>>;
  readonly link: RegionLink;
  readonly groups: Readonly<Record<string, ModelGroup>>;
  readonly caches: Readonly<Record<string, CacheGroup>>;
  readonly services: Readonly<Record<string, Service>>;
  readonly customers: Readonly<Record<string, Customer>>;
  readonly duties: readonly DutyRule[];
  /** Base address of the system that serves duties that are off. */
  readonly legacy?: { readonly address: string };
  readonly limits: Limits;
  readonly policy: Policy;
}

export interface Region {
  readonly availabilityZones: readonly string[];
}

/** The link between regions and the share of it that the system may use. */
export interface RegionLink {
  readonly bytesPerSecond: Bytes;
  /** Fraction in 0..1. */
  readonly share: number;
  readonly oneWayMilliseconds: Milliseconds;
}

/** Replicas that serve one model; the key in the configuration is its name. */
export interface ModelGroup {
  /** Weight version that new requests use. */
  readonly weights: string;
  /** True when replicas refuse orders with an old fencing number. */
  readonly checksFencing: boolean;
  readonly tokensPerBlock: Tokens;
  readonly replicas: Readonly<Record<string, Replica>>;
  /** Replicas that may load weights at once. */
  readonly parallelLoads: number;
  /** Replicas that must stay ready during a roll-out. */
  readonly minimumReady: number;
  /** Cache groups that keep this group's blocks, nearest first. */
  readonly caches: readonly string[];
}

export interface Replica {
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that the replica runs at once without loss of speed. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
}

export interface CacheGroup {
  readonly vms: Readonly<Record<string, CacheVm>>;
}

export interface CacheVm {
  readonly address: string;
  readonly availabilityZone: string;
  readonly bytesPerSecond: Bytes;
}

export interface Service {
  readonly addresses: readonly string[];
  readonly checksFencing: boolean;
  /** The first rule that matches decides; HTTP's own rule applies otherwise. */
  readonly paths: readonly PathRule[];
  readonly timeout: Milliseconds;
}

export interface PathRule {
  /** Prefix of the path behind the service's name, such as "/orders". */
  readonly prefix: string;
  readonly methods: readonly string[];
  readonly idempotent: boolean;
}

export interface Customer {
  /** SHA-256 of each API key, in hex. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queueing. */
  readonly share: number;
  /** Model groups and services that the customer may use; all when absent. */
  readonly models?: readonly string[];
  readonly services?: readonly string[];
  /** Availability zones where the customer's work must not run. */
  readonly barredZones: readonly string[];
  /** Requests at once over all daemons. */
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly disabled: boolean;
}

export type Duty =
  | "chat"
  | "services"
  | "orders"
  | "cache"
  | "rollouts"
  | "configuration";

/** Switches a duty; the most specific matching rule wins, then the last. */
export interface DutyRule {
  readonly duty: Duty;
  readonly on: boolean;
  /** Model group or service. */
  readonly route?: string;
  readonly customer?: string;
}

export interface Limits {
  readonly requestBytes: Bytes;
  readonly headersTimeout: Milliseconds;
  readonly bodyTimeout: Milliseconds;
  readonly defaultPatience: Milliseconds;
  readonly queueLength: number;
  readonly firstTokenTimeout: Milliseconds;
  readonly betweenTokensTimeout: Milliseconds;
  readonly maxTokens: Tokens;
}

export interface Policy {
  readonly placement:
    | "estimate"
    | "random"
    | "round-robin"
    | "least-load"
    | "sticky";
  /** Retries for each 100 first attempts. */
  readonly retryPercent: number;
  /** Hedges for each 100 first attempts. */
  readonly hedgePercent: number;
}
