/**
 * What an embedding program passes to a gateway: settings and the components of
 * an adapter.
 */
import type { Tolerance } from "@peridotvalve/backpressure";
import type { Clock } from "@peridotvalve/clock";
import type {
  DesiredState,
  ReplicaEntry,
  Topology,
} from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type {
  FeedRow,
  Platform,
  StoreEra,
  TableFeed,
} from "@peridotvalve/tables";
import type { Milliseconds } from "@peridotvalve/types";
import type { Result } from "ts-results-es";
import type { HeaderCodec } from "./header_codec.ts";
import type { Intake } from "./intake.ts";
import type { ReplicaControl } from "./replica_control.ts";

export interface Address {
  readonly host: string;
  readonly port: number;
}

export interface GatewaySettings {
  readonly name: string;
  readonly topology: Topology;
  readonly front: Address;
  readonly ready: Address;
  /** Address at which peers call this daemon. */
  readonly peers: Address;
  /**
   * Address of the datagrams between peers, and of the connections over which
   * they pass requests on.
   */
  readonly datagrams: Address;
  readonly metrics?: Address & { readonly path: string };
  /** Peers to contact before the store has listed any. */
  readonly seeds: readonly Address[];
  readonly grace: Milliseconds;
  readonly leaseDuration: Milliseconds;
  /**
   * Time after the naming of a weight version during which requests may still
   * start on the version before it.
   */
  readonly weightGracePeriod: Milliseconds;
  /** Time within which a desired state must be in force on every daemon. */
  readonly configurationLimit: Milliseconds;
  /** Time after which replicas of an evacuated zone must get no requests. */
  readonly evacuationLimit: Milliseconds;
  /** Time after which a leaving replica must get no requests. */
  readonly drainLimit: Milliseconds;
  /**
   * True when prompts are placed by the time until their first event and by the
   * delay that they cause to others.
   */
  readonly mixedPrompts: boolean;
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /**
   * Retries that all daemons together may make in one window beyond the ratio.
   */
  readonly retrySlack: number;
  /** What a cold replica may get beyond its rate; by default the platform's. */
  readonly coldTolerance?: Tolerance;
}

/** Decodes the rows of the platform's tables. */
export interface TableCodec {
  /** Name of the table that the operator writes. */
  readonly operatorTable: string;
  readonly replicaTable: string;
  isState(key: string): boolean;
  readState(value: unknown): Result<DesiredState, string>;
  /** Reads a named weight version; undefined when the row is something else. */
  readWeights(
    key: string,
    value: unknown,
  ): { readonly model: string; readonly version: number } | undefined;
  /** Zone that a row of the key evacuates; undefined for all other rows. */
  readEvacuation(key: string): string | undefined;
  readEntry(key: string, value: unknown): Result<ReplicaEntry, string>;
  /**
   * Where the row stands among those that its writer wrote under this key, as
   * numbers that are compared one after the other. Undefined when the row does
   * not say.
   */
  readProgress(table: string, row: FeedRow): readonly number[] | undefined;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  /** Clock that also counts the time for which the machine was suspended. */
  readonly leaseClock: Clock;
  readonly logger: EventLogger;
  readonly headerCodec: HeaderCodec;
  readonly requestIdHeader: string;
  readonly readyPath: string;
  readonly codec: TableCodec;
  readonly store: Platform;
  readonly feed: TableFeed;
  readonly storeEra: StoreEra;
  readonly control: ReplicaControl;
  /** Bounds what peers make the daemon hold; shared with the adapter. */
  readonly intake: Intake;
}
