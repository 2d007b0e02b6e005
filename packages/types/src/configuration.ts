/**
 * The operators' configuration after its files have been merged and validated.
 * A daemon uses one immutable value of this type at a time.
 */
import type { Bytes, Milliseconds, Tokens } from "./units.ts";

/** A configuration with its version number and change id. */
export interface VersionedConfiguration {
  /** Incremented by each accepted change; 0 for the bootstrap folder. */
  readonly version: number;
  /** Id of the change that created this version. */
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
  /** Address of the legacy system, which serves duties that are off. */
  readonly legacy?: { readonly address: string };
  readonly limits: Limits;
  readonly policy: Policy;
}

export interface Region {
  readonly availabilityZones: readonly string[];
}

/** The link between regions and the fraction of it that the system may use. */
export interface RegionLink {
  readonly bytesPerSecond: Bytes;
  /** Fraction of the capacity, 0 to 1. */
  readonly share: number;
  readonly oneWayMilliseconds: Milliseconds;
}

/** Replicas that serve one model. The configuration key is the model's name. */
export interface ModelGroup {
  /** Weight version for new requests. */
  readonly weights: string;
  /** True when replicas reject commands with a stale fencing token. */
  readonly checksFencing: boolean;
  readonly tokensPerBlock: Tokens;
  readonly replicas: Readonly<Record<string, Replica>>;
  /** Maximum number of replicas that load weights concurrently. */
  readonly parallelLoads: number;
  /** Number of replicas that must stay ready during a rollout. */
  readonly minimumReady: number;
  /** Cache groups that store this group's blocks, nearest first. */
  readonly caches: readonly string[];
}

export interface Replica {
  readonly address: string;
  readonly availabilityZone: string;
  /** Concurrent requests that the replica runs without slowing down. */
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
  /**
   * The first matching rule applies. Without a match, idempotence follows the
   * HTTP method.
   */
  readonly paths: readonly PathRule[];
  readonly timeout: Milliseconds;
}

export interface PathRule {
  /** Prefix of the path after the service's name, such as "/orders". */
  readonly prefix: string;
  readonly methods: readonly string[];
  readonly idempotent: boolean;
}

export interface Customer {
  /** SHA-256 of each API key, in hex. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queuing. */
  readonly share: number;
  /** Model groups that the customer may use; all when absent. */
  readonly models?: readonly string[];
  /** Services that the customer may use; all when absent. */
  readonly services?: readonly string[];
  /** Availability zones where the customer's requests must not run. */
  readonly barredZones: readonly string[];
  /** Maximum number of concurrent requests over all daemons. */
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

/**
 * Switches a duty on or off. The most specific matching rule wins; among equally
 * specific ones, the last.
 */
export interface DutyRule {
  readonly duty: Duty;
  readonly on: boolean;
  /** Model group or service that the rule is limited to. */
  readonly route?: string;
  /** Customer that the rule is limited to. */
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
  /** Allowed retries per 100 first attempts. */
  readonly retryPercent: number;
  /** Allowed hedged attempts per 100 first attempts. */
  readonly hedgePercent: number;
}
