/**
 * What an embedder gives to a gateway: its settings, and the adapter's parts.
 */
import type { Clock } from "@peridotvalve/clock";
import type {
  DesiredState,
  Origin,
  ReplicaEntry,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { Platform, TableFeed } from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { Dialect } from "./dialect.ts";
import type { ReplicaControl } from "./replica_control.ts";

export interface Address {
  readonly host: string;
  readonly port: number;
}

export interface GatewaySettings {
  readonly name: string;
  readonly origin: Origin;
  readonly front: Address;
  readonly ready: Address;
  /** Where peers call this daemon. */
  readonly peers: Address;
  /** Port of the datagrams between peers. */
  readonly datagrams: Address;
  readonly metrics?: Address & { readonly path: string };
  /** Peers to ask before the store tells of any. */
  readonly seeds: readonly Address[];
  readonly grace: Milliseconds;
  readonly leaseDuration: Milliseconds;
  /** Time from the name of a weight version until only it may begin. */
  readonly weightPatience: Milliseconds;
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /** Extra attempts of all daemons in one window beside the ratio. */
  readonly retrySlack: number;
}

/** Decodes what the platform's tables hold. */
export interface TableCodec {
  /** Table and keys of what the operator writes. */
  readonly operatorTable: string;
  readonly replicaTable: string;
  isState(key: string): boolean;
  readState(value: unknown): Result<DesiredState, string>;
  /** A named weight version; undefined when the row is something else. */
  readWeights(
    key: string,
    value: unknown,
  ): { readonly model: string; readonly version: number } | undefined;
  readEntry(key: string, value: unknown): Result<ReplicaEntry, string>;
}

export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  /** Counts the time in which the machine was suspended. */
  readonly leaseClock: Clock;
  readonly logger: EventLogger;
  readonly dialect: Dialect;
  readonly requestIdHeader: string;
  readonly readyPath: string;
  readonly codec: TableCodec;
  readonly store: Platform;
  readonly feed: TableFeed;
  readonly control: ReplicaControl;
}
