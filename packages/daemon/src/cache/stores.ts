/**
 * The store VMs of the configuration in force: their clients, their distance
 * from a replica, and which of them get no work for a while.
 */
import type { StoreCandidate } from "@peridotvalve/blocks";
import type { Clock } from "@peridotvalve/clock";
import type { EventLogger } from "@peridotvalve/events";
import type { CacheVm, Configuration, Milliseconds } from "@peridotvalve/types";
import { createHttpStoreVm, type HttpStoreVm } from "@peridotvalve/upstreams";

export interface Place {
  readonly availabilityZone: string;
  readonly region: string;
}

/** The store VMs of one cache group that may be used now. */
export interface StoreGroup extends Place {
  readonly name: string;
  readonly stores: readonly StoreCandidate[];
  /** Rate of the slowest of its VMs. */
  readonly bytesPerSecond: number;
}

export type StoreUse = "read" | "write";

export interface StoreQuestion {
  /** Model group whose blocks are meant. */
  readonly group: string;
  /** Place of the engine; block bytes go between it and the store VM. */
  readonly from: Place;
  readonly barredZones: readonly string[];
  readonly use: StoreUse;
}

export interface Stores {
  apply(configuration: Configuration): void;
  /** The usable cache groups of a model group, nearest first. */
  list(question: StoreQuestion): readonly StoreGroup[];
  /** Gives the store VM no such work for a while. */
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
 * Time without exports to a VM that refused one. A full VM stays full for
 * minutes; a restarted one is used again soon.
 */
const WRITE_PAUSE: Milliseconds = 10_000;

/** Time without look-ups on a VM that did not answer one. */
const READ_PAUSE: Milliseconds = 2_000;

const FULL = /507/;

interface Member {
  readonly client: HttpStoreVm;
  /** Monotonic times until which the VM gets no such work. */
  readonly pausedUntil: Record<StoreUse, Milliseconds>;
}

export function createStores(options: StoresOptions): Stores {
  const { clock, log, regionOf } = options;
  const members = new Map<string, Member>();
  let configuration: Configuration | undefined;

  function isUsable(address: string, use: StoreUse): boolean {
    const until = members.get(address)?.pausedUntil[use];
    return until !== undefined && clock.monotonic() >= until;
  }

  function toChoice(id: string, vm: CacheVm, from: Place): StoreCandidate[] {
    const member = members.get(vm.address);
    if (member === undefined) return [];
    const crossesRegions = regionOf(vm.availabilityZone) !== from.region;
    return [{ id, store: member.client, crossesRegions }];
  }

  function toGroup(name: string, question: StoreQuestion): StoreGroup[] {
    const { from, use, barredZones } = question;
    const vms = Object.entries(configuration?.caches[name]?.vms ?? {})
      .filter(([, vm]) =>
        !barredZones.includes(vm.availabilityZone) &&
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
    list(question) {
      const names = configuration?.groups[question.group]?.caches ?? [];
      return names
        .flatMap((name) => toGroup(name, question))
        // The sort is stable: equally distant groups keep the operators' order.
        .sort((left, right) =>
          distance(question.from, left) - distance(question.from, right)
        );
    },
    noteFailure(address, { use, reason }) {
      const member = members.get(address);
      if (member === undefined) return;
      const pause = use === "write" ? WRITE_PAUSE : READ_PAUSE;
      member.pausedUntil[use] = clock.monotonic() + pause;
      if (FULL.test(reason)) log("store_full", { store: address });
      else log("store_unavailable", { store: address, reason });
    },
    async close() {
      const all = [...members.values()];
      members.clear();
      await Promise.all(all.map((member) => member.client.close()));
    },
  };
}

function distance(from: Place, to: Place): number {
  if (from.region !== to.region) return 2;
  return from.availabilityZone === to.availabilityZone ? 0 : 1;
}
