/**
 * Creates configurations of several sizes with the structure of the two-year
 * target: 8 availability zones in 2 regions, 4 models, store VMs, a service and
 * customers.
 */
import type { Json } from "@peridotvalve/tables";

export interface FleetSize {
  readonly replicas: number;
  readonly customers: number;
}

/** The last size is the two-year size (docs/design.md, section 3). */
export const SIZES: readonly FleetSize[] = [
  { replicas: 91, customers: 38 },
  { replicas: 365, customers: 150 },
  { replicas: 730, customers: 300 },
];

export const ZONES = 8;
const MODELS = 4;
const ZONES_OF_FIRST_REGION = 5;

export function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}

export function replicaNames(count: number): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => `model-${index % MODELS}-${zoneOf(index)}-${index}`,
  );
}

export function createFleetConfiguration(size: FleetSize): Json {
  const zones = Array.from({ length: ZONES }, (_, index) => zoneOf(index));
  const models = Array.from({ length: MODELS }, (_, model) => {
    const replicas = replicaNames(size.replicas).flatMap((name, index) => {
      if (index % MODELS !== model) return [];
      const address = `10.1.${index >> 8}.${index & 255}:8000`;
      return [[name, { address, availabilityZone: zoneOf(index) }]];
    });
    const group = {
      weights: "w1",
      caches: ["blocks"],
      replicas: Object.fromEntries(replicas) as Json,
    };
    return [`model-${model}`, group];
  });
  const customers = Array.from({ length: size.customers }, (_, index) => {
    const hash = index.toString(16).padStart(64, "0");
    return [`customer-${index}`, { keyHashes: [hash], share: 1 + index % 4 }];
  });
  const vms = zones.map((zone, index) => [`store-${zone}`, {
    address: `10.2.0.${index}:8000`,
    availabilityZone: zone,
  }]);
  return {
    regions: {
      "region-a": { availabilityZones: zones.slice(0, ZONES_OF_FIRST_REGION) },
      "region-b": { availabilityZones: zones.slice(ZONES_OF_FIRST_REGION) },
    },
    groups: Object.fromEntries(models) as Json,
    caches: { blocks: { vms: Object.fromEntries(vms) as Json } },
    services: { bookings: { addresses: ["10.3.0.1:8000"] } },
    customers: Object.fromEntries(customers) as Json,
  };
}
