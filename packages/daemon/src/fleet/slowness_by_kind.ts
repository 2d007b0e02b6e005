/**
 * A slowness detector that keeps separate windows for first tokens and for gaps
 * between tokens. Ratios for first tokens depend on the accuracy of the
 * placement's estimates; ratios for gaps between tokens do not. In a shared
 * window, a replica that serves only short responses would have a different mix
 * of samples and look slow.
 */
import {
  type GapSample,
  type ReplicaHealth,
  SlownessDetector,
} from "@peridotvalve/routing";

const HEALTH_BY_SEVERITY: readonly ReplicaHealth[] = [
  "healthy",
  "suspect",
  "slow",
];

export function createSlownessByKind(
  createDetector: () => SlownessDetector,
): SlownessDetector {
  const detectors: Readonly<Record<GapSample["kind"], SlownessDetector>> = {
    "first token": createDetector(),
    "between tokens": createDetector(),
  };
  const all = Object.values(detectors);

  return new (class extends SlownessDetector {
    override record(replica: string, sample: GapSample): void {
      detectors[sample.kind].record(replica, sample);
    }

    override recordProbe(replica: string): void {
      for (const detector of all) detector.recordProbe(replica);
    }

    override forget(replica: string): void {
      for (const detector of all) detector.forget(replica);
    }

    override healthOf(replica: string): ReplicaHealth {
      const severities = all.map((detector) =>
        HEALTH_BY_SEVERITY.indexOf(detector.healthOf(replica))
      );
      return HEALTH_BY_SEVERITY[Math.max(...severities)] ?? "healthy";
    }

    override isProbeDue(replica: string): boolean {
      const slow = all.filter((detector) =>
        detector.healthOf(replica) === "slow"
      );
      return slow.length > 0 &&
        slow.every((detector) => detector.isProbeDue(replica));
    }
  })();
}
