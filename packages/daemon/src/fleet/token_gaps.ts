/**
 * Samples the gaps between the tokens of own streams for the detection of slow
 * replicas. One sample stands for several tokens, so that its cost is small
 * beside that of relaying them.
 */
import type { Clock } from "@peridotvalve/clock";
import type { SlownessDetector } from "@peridotvalve/routing";
import type { Milliseconds } from "@peridotvalve/types";

export interface TokenGaps {
  /** Starts the sampling of one stream; call the result for each token. */
  follow(stream: {
    readonly group: string;
    readonly replica: string;
  }): () => void;
}

/** Tokens that one sample stands for. */
const TOKENS_PER_SAMPLE = 8;

/** Weight of a new sample in the group's ordinary gap. */
const SMOOTHING = 0.05;

/** A stalled replica must not raise what counts as ordinary for its group. */
const MAXIMUM_RATIO = 2;

export function createTokenGaps(
  clock: Clock,
  slowness: SlownessDetector,
): TokenGaps {
  const ordinary = new Map<string, Milliseconds>();

  function learn(group: string, gap: Milliseconds): Milliseconds {
    const known = ordinary.get(group) ?? gap;
    const bounded = Math.min(gap, known * MAXIMUM_RATIO);
    ordinary.set(group, known + (bounded - known) * SMOOTHING);
    return known;
  }

  return {
    follow({ group, replica }) {
      let tokens = 0;
      let since: Milliseconds = 0;
      return () => {
        if (tokens % TOKENS_PER_SAMPLE === 0) {
          const now = clock.monotonic();
          if (tokens > 0) {
            const gap = (now - since) / TOKENS_PER_SAMPLE;
            const expected = learn(group, gap);
            slowness.record(replica, { kind: "between tokens", gap, expected });
          }
          since = now;
        }
        tokens += 1;
      };
    },
  };
}
