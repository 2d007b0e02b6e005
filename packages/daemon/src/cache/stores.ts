/**
 * The store VMs of the current configuration: their clients, their distance
 * from a replica and their back-off after failures.
 */
import type { StoreCandidate } from "@peridotvalve/blocks";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import { isZoneBarred } from "@peridotvalve/routing";
import type { CacheVm, Configuration, Milliseconds } from "@peridotvalve/types";
import { createHttpStoreVm, type HttpStoreVm } from "@peridotvalve/upstreams";

export interface Location {
  readonly availabilityZone: string;
  readonly region: string;
}

/** The usable store VMs of one cache group. */
export interface StoreGroup extends Location {
  readonly name: string;
  readonly stores: readonly StoreCandidate[];
  /** Transfer rate of its slowest VM. */
  readonly bytesPerSecond: number;
}

export type StoreUse = "read" | "write";

export interface StoreQuery {
  /** Model group of the blocks. */
  readonly group: string;
  /** Location of the engine that exchanges the block bytes with the VM. */
  readonly from: Location;
  readonly barredZones: readonly string[];
  readonly use: StoreUse;
}

export interface Stores {
  apply(configuration: Configuration): void;
  /** The usable cache groups of a model group, nearest first. */
  list(query: StoreQuery): readonly StoreGroup[];
  /** Starts a back-off for this use of the store VM. */
  noteFailure(
    address: string,
    failure: { readonly use: StoreUse; readonly reason: string },
  ): void;
  close(): Promise<void>;
}

export interface StoresOptions {
  readonly clock: Clock;
  readonly log: EventLogger["log"];
  readonly regionOf: (availabilityZone: string) => string;
}

/**
 * Back-off for exports to a VM after a failed one. It is short compared with
 * the minutes for which a full VM stays full, so that a restarted VM is used
 * again soon.
 */
const WRITE_PAUSE: Milliseconds = 10_000;

/** Back-off for look-ups on a VM after a failed one. */
const READ_PAUSE: Milliseconds = 2_000;

const STORE_FULL_STATUS = /507/;

interface StoreClient {
  readonly client: HttpStoreVm;
  /** Monotonic time in ms at which the back-off of each use ends. */
  readonly pausedUntil: Record<StoreUse, Milliseconds>;
}

export function createStores(options: StoresOptions): Stores {
  const { clock, log, regionOf } = options;
  const members = new Map<string, StoreClient>();
  let configuration: Configuration | undefined;

  function isUsable(address: string, use: StoreUse): boolean {
    const until = members.get(address)?.pausedUntil[use];
    return until !== undefined && clock.monotonic() >= until;
  }

  function toChoice(id: string, vm: CacheVm, from: Location): StoreCandidate[] {
    const member = members.get(vm.address);
    if (member === undefined) return [];
    const crossesRegions = regionOf(vm.availabilityZone) !== from.region;
    return [{ id, store: member.client, crossesRegions }];
  }

  function toGroup(name: string, query: StoreQuery): StoreGroup[] {
    const { from, use } = query;
    const vms = Object.entries(configuration?.caches[name]?.vms ?? {})
      .filter(([, vm]) =>
        !isZoneBarred(query, vm.availabilityZone) &&
        isUsable(vm.address, use)
      );
    const zones = vms.map(([, vm]) => vm.availabilityZone);
    if (zones[0] === undefined) return [];
    const near = zones.find((zone) => zone === from.availabilityZone);
    const availabilityZone = near ?? zones[0];
    return [{
      name,
      availabilityZone,
      region: regionOf(availabilityZone),
      bytesPerSecond: Math.min(...vms.map(([, vm]) => vm.bytesPerSecond)),
      stores: vms.flatMap(([id, vm]) => toChoice(id, vm, from)),
    }];
  }

  return {
    apply(now) {
      configuration = now;
      const addresses = new Set(
        Object.values(now.caches).flatMap((cache) =>
          Object.values(cache.vms).map((vm) => vm.address)
        ),
      );
      for (const [address, member] of [...members]) {
        if (addresses.has(address)) continue;
        members.delete(address);
        void member.client.close();
      }
      for (const address of addresses) {
        if (members.has(address)) continue;
        members.set(address, {
          client: createHttpStoreVm({ address, clock }),
          pausedUntil: { read: -Infinity, write: -Infinity },
        });
      }
    },
    list(query) {
      const names = configuration?.groups[query.group]?.caches ?? [];
      return names
        .flatMap((name) => toGroup(name, query))
        // The sort is stable: equally distant groups keep their configured order.
        .sort((left, right) =>
          distance(query.from, left) - distance(query.from, right)
        );
    },
    noteFailure(address, { use, reason }) {
      const member = members.get(address);
      if (member === undefined) return;
      const pause = use === "write" ? WRITE_PAUSE : READ_PAUSE;
      member.pausedUntil[use] = clock.monotonic() + pause;
      if (STORE_FULL_STATUS.test(reason)) log("store_full", { store: address });
      else log("store_unavailable", { store: address, reason });
    },
    async close() {
      const all = [...members.values()];
      members.clear();
      await Promise.all(all.map((member) => member.client.close()));
    },
  };
}

function distance(from: Location, to: Location): number {
  if (from.region !== to.region) return 2;
  return from.availabilityZone === to.availabilityZone ? 0 : 1;
}
