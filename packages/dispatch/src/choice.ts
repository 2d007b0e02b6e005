/**
 * What a placement decides, and what it decides from.
 */
import type { LoadView, ReplicaLoad, SharedPart } from "@peridotvalve/load";
import type { Milliseconds, Tokens } from "@peridotvalve/types";
import type { CacheView } from "./cache_view.ts";
import type { Eligibility } from "./eligibility.ts";
import type { Forecast } from "./mixed_prompts.ts";
import type {
  Replica,
  ReplicaEntry,
  ReplicaTable,
  Topology,
} from "./replica.ts";
import type { PartPlan, TransferPlanner } from "./transfers.ts";
import type { WeightTargets } from "./weights.ts";

export interface Choice {
  readonly replica: Replica;
  /** Weight version required by the request; undefined for plain services. */
  readonly version?: number;
  readonly salt?: string;
  /** One plan for each part, in order; absent when nothing is transferred. */
  readonly parts?: readonly PartPlan[];
  /** Prompt tokens to be fetched from other caches. */
  readonly fetched: Tokens;
  /** Prompt tokens that the replica has to prefill. */
  readonly unread: Tokens;
  readonly memory: Tokens;
  /** Prompt tokens that the replica is expected to have cached. */
  readonly held: Tokens;
  /** Load of the replica without this request. */
  readonly load: ReplicaLoad;
  /** Present when prompts are weighed by time. */
  readonly forecast?: Forecast;
  /** Parts within `memory` that other requests may share at the replica. */
  readonly sharedParts?: readonly SharedPart[];
  readonly cost: number;
  readonly candidates: number;
}

export interface PlacementOptions {
  readonly replicas: ReplicaTable;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly weights: WeightTargets;
  readonly topology: Topology;
  /** By default, the regions of the topology restrict requests. */
  readonly eligibility?: Eligibility;
  readonly memoryOf: (service: string) => Tokens;
  readonly transfers: TransferPlanner;
  /** Prompt tokens that a replica of a service prefills per millisecond. */
  readonly prefillRate: (service: string) => number;
  /**
   * Returns false when this daemon knows of only a part of the requests that
   * fill the caches; by default it knows of all.
   */
  readonly knowsCaches?: () => boolean;
  /** Returns false while the replica takes no further request now. */
  readonly hasRoom?: (replica: ReplicaEntry) => boolean;
  /**
   * Returns false while streams that may be taken up must not begin at a software
   * version of the service.
   */
  readonly mayBegin?: (service: string, software: string) => boolean;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
  /** True when prompts are weighed by time; see `mixed_prompts.ts`. */
  readonly mixedPrompts?: () => boolean;
  /** The monotonic clock; used by `mixedPrompts`. */
  readonly now?: () => Milliseconds;
  /** How long work takes on the replica's machine; 1 is as usual. */
  readonly slownessOf?: (replica: string) => number;
  /** Called for each prompt that is placed by time. */
  readonly onForecast?: (route: string, forecast: Forecast) => void;
}
