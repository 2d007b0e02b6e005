/**
 * Checks of a configuration across its parts, which the schema cannot express.
 */
import type { Configuration } from "@peridotvalve/types";
import type { Path } from "./problem.ts";

/** A reference problem without its file and line. */
export interface ReferenceProblem {
  readonly path: Path;
  readonly message: string;
  /** The unknown name and the existing names, from which to suggest one. */
  readonly unknown?: {
    readonly name: string;
    readonly known: readonly string[];
  };
}

/** Yields all reference problems of a configuration, section by section. */
export function* findReferenceProblems(
  content: Configuration,
): Generator<ReferenceProblem> {
  yield* checkZones(content);
  yield* checkGroups(content);
  yield* checkAddresses(content);
  yield* checkCustomers(content);
  yield* checkDuties(content);
}

function zonesOf(content: Configuration): readonly string[] {
  const regions = Object.values(content.regions);
  return regions.flatMap((region) => region.availabilityZones);
}

function* checkZones(content: Configuration): Generator<ReferenceProblem> {
  const seen = new Map<string, string>();
  for (
    const [region, { availabilityZones }] of Object.entries(content.regions)
  ) {
    for (const [index, zone] of availabilityZones.entries()) {
      const path = ["regions", region, "availabilityZones", index];
      const other = seen.get(zone);
      if (other !== undefined) {
        yield { path, message: `"${zone}" is already in region "${other}"` };
      }
      seen.set(zone, region);
    }
  }
}

function* checkGroups(content: Configuration): Generator<ReferenceProblem> {
  const caches = Object.keys(content.caches);
  for (const [name, group] of Object.entries(content.groups)) {
    const path = ["groups", name];
    const count = Object.keys(group.replicas).length;
    yield* checkNames(group.caches, {
      known: caches,
      path: [...path, "caches"],
      entity: "cache group",
    });
    if (group.minimumReady >= count) {
      yield {
        path: [...path, "minimumReady"],
        message: `must be less than the number of replicas (${count})`,
      };
    }
  }
}

interface LocatedAddress {
  readonly address: string;
  readonly zone?: string;
  readonly path: Path;
}

function* listUpstreams(content: Configuration): Generator<LocatedAddress> {
  for (const [group, { replicas }] of Object.entries(content.groups)) {
    for (const [name, replica] of Object.entries(replicas)) {
      const path = ["groups", group, "replicas", name];
      yield { ...addressAndZoneOf(replica), path };
    }
  }
  for (const [group, { vms }] of Object.entries(content.caches)) {
    for (const [name, vm] of Object.entries(vms)) {
      yield { ...addressAndZoneOf(vm), path: ["caches", group, "vms", name] };
    }
  }
  for (const [service, { addresses }] of Object.entries(content.services)) {
    for (const [index, address] of addresses.entries()) {
      yield { address, path: ["services", service, "addresses", index] };
    }
  }
}

function addressAndZoneOf(
  upstream: { address: string; availabilityZone: string },
) {
  return { address: upstream.address, zone: upstream.availabilityZone };
}

function* checkAddresses(content: Configuration): Generator<ReferenceProblem> {
  const zones = zonesOf(content);
  const seen = new Map<string, string>();
  for (const { address, zone, path } of listUpstreams(content)) {
    const upstreamPath = path.join(".");
    const other = seen.get(address);
    const addressPath = zone === undefined ? path : [...path, "address"];
    if (other !== undefined) {
      yield {
        path: addressPath,
        message: `${address} is already used by ${other}`,
      };
    }
    seen.set(address, upstreamPath);
    if (zone !== undefined) {
      const zonePath = [...path, "availabilityZone"];
      yield* checkName(zone, {
        known: zones,
        path: zonePath,
        entity: "availability zone",
      });
    }
  }
}

function* checkCustomers(content: Configuration): Generator<ReferenceProblem> {
  const zones = zonesOf(content);
  const groups = Object.keys(content.groups);
  const services = Object.keys(content.services);
  const hashes = new Map<string, string>();
  for (const [name, customer] of Object.entries(content.customers)) {
    const path = ["customers", name];
    yield* checkNames(customer.models ?? [], {
      known: groups,
      path: [...path, "models"],
      entity: "model group",
    });
    yield* checkNames(customer.services ?? [], {
      known: services,
      path: [...path, "services"],
      entity: "service",
    });
    yield* checkNames(customer.barredZones, {
      known: zones,
      path: [...path, "barredZones"],
      entity: "availability zone",
    });
    for (const [index, hash] of customer.keyHashes.entries()) {
      const owner = hashes.get(hash);
      if (owner !== undefined) {
        const message = `the key hash already belongs to customer "${owner}"`;
        yield { path: [...path, "keyHashes", index], message };
      }
      hashes.set(hash, name);
    }
  }
}

function* checkDuties(content: Configuration): Generator<ReferenceProblem> {
  const routes = [
    ...Object.keys(content.groups),
    ...Object.keys(content.services),
  ];
  const customers = Object.keys(content.customers);
  for (const [index, rule] of content.duties.entries()) {
    const path = ["duties", index];
    if (rule.route !== undefined) {
      yield* checkName(rule.route, {
        known: routes,
        path: [...path, "route"],
        entity: "model group or service",
      });
    }
    if (rule.customer !== undefined) {
      yield* checkName(rule.customer, {
        known: customers,
        path: [...path, "customer"],
        entity: "customer",
      });
    }
  }
}

interface NameCheck {
  readonly known: readonly string[];
  readonly path: Path;
  readonly entity: string;
}

function* checkNames(
  names: readonly string[],
  { known, path, entity }: NameCheck,
): Generator<ReferenceProblem> {
  for (const [index, name] of names.entries()) {
    yield* checkName(name, { known, path: [...path, index], entity });
  }
}

function* checkName(
  name: string,
  { known, path, entity }: NameCheck,
): Generator<ReferenceProblem> {
  if (known.includes(name)) return;
  const message = `no ${entity} has the name "${name}"`;
  yield { path, message, unknown: { name, known } };
}
