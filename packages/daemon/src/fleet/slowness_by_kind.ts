/**
 * One detector for each kind of gap. Ratios of first tokens depend on the
 * placement's estimates and those between tokens do not; in one window, a
 * replica with short answers only would stand out from its group.
 */
import {
  type GapSample,
  type ReplicaHealth,
  SlownessDetector,
} from "@peridotvalve/routing";

const ORDER: readonly ReplicaHealth[] = ["healthy", "suspect", "slow"];

export function createSlownessByKind(
  create: () => SlownessDetector,
): SlownessDetector {
  const kinds: Readonly<Record<GapSample["kind"], SlownessDetector>> = {
    "first token": create(),
    "between tokens": create(),
  };
  const all = Object.values(kinds);

  return new (class extends SlownessDetector {
    override record(replica: string, sample: GapSample): void {
      kinds[sample.kind].record(replica, sample);
    }

    override recordProbe(replica: string): void {
      for (const detector of all) detector.recordProbe(replica);
    }

    override forget(replica: string): void {
      for (const detector of all) detector.forget(replica);
    }

    override healthOf(replica: string): ReplicaHealth {
      const found = all.map((one) => ORDER.indexOf(one.healthOf(replica)));
      return ORDER[Math.max(...found)] ?? "healthy";
    }

    override isProbeDue(replica: string): boolean {
      const slow = all.filter((one) => one.healthOf(replica) === "slow");
      return slow.length > 0 && slow.every((one) => one.isProbeDue(replica));
    }
  })();
}
