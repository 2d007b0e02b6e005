/**
 * Samples the gaps between tokens of this daemon's streams to detect slow
 * replicas. Each sample averages several tokens, so that sampling costs little
 * compared with relaying them.
 */
import type { Clock } from "@peridotvalve/clock";
import type { SlownessDetector } from "@peridotvalve/routing";
import type { Milliseconds } from "@peridotvalve/types";

export interface TokenGaps {
  /** Starts sampling a stream. The result must be called for each token. */
  trackStream(stream: {
    readonly group: string;
    readonly replica: string;
  }): () => void;
}

/** Tokens that one sample averages. */
const TOKENS_PER_SAMPLE = 8;

/** Weight of a new sample in the moving average of the group's gap. */
const SMOOTHING_FACTOR = 0.05;

/** Limits the influence of a stalled replica on the average of its group. */
const MAXIMUM_GAP_RATIO = 2;

export function createTokenGaps(
  clock: Clock,
  slowness: SlownessDetector,
): TokenGaps {
  const typicalGaps = new Map<string, Milliseconds>();

  function updateTypicalGap(group: string, gap: Milliseconds): Milliseconds {
    const typical = typicalGaps.get(group) ?? gap;
    const bounded = Math.min(gap, typical * MAXIMUM_GAP_RATIO);
    typicalGaps.set(group, typical + (bounded - typical) * SMOOTHING_FACTOR);
    return typical;
  }

  return {
    trackStream({ group, replica }) {
      let tokens = 0;
      let sampleStartedAt: Milliseconds = 0;
      return () => {
        if (tokens % TOKENS_PER_SAMPLE === 0) {
          const now = clock.monotonic();
          if (tokens > 0) {
            const gap = (now - sampleStartedAt) / TOKENS_PER_SAMPLE;
            const expected = updateTypicalGap(group, gap);
            slowness.record(replica, { kind: "between tokens", gap, expected });
          }
          sampleStartedAt = now;
        }
        tokens += 1;
      };
    },
  };
}
