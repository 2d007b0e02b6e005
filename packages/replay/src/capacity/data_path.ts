/**
 * Derives the cost of requests and streams in one daemon at the two-year size.
 */
import { fitLine } from "./fit.ts";
import {
  type Derivation,
  describeFit,
  figureAtLargestSize,
  formatMegabytes,
  type Line,
} from "./lines.ts";
import {
  DAEMON_REQUESTS_PER_SECOND,
  DAEMON_TOKENS_PER_SECOND,
  STREAM_SECONDS,
} from "./sizes.ts";
import type { Slopes } from "./slopes.ts";

/** Derives the section on the data path and its notes. */
export function deriveDataPath(slopes: Slopes): Derivation {
  const { loads, streams, delays } = slopes["relay"]?.figures ?? {};
  const { slope, intercept } = fitLine(
    loads.map((one: Record<string, number>) => [
      one["tokensForEachRequest"],
      one["processorMillisecondsForEachRequest"],
    ]),
  );
  const cpuMillisecondsPerSecond = DAEMON_REQUESTS_PER_SECOND * intercept +
    DAEMON_TOKENS_PER_SECOND * slope;
  const openStreams = DAEMON_REQUESTS_PER_SECOND * STREAM_SECONDS;
  const bytesPerStream = figureAtLargestSize(streams, "bytesForEach");
  return {
    section: {
      title: "Data path of one daemon",
      text:
        "One daemon process against engine stand-ins that answer at once. " +
        "CPU time is from /proc; memory is heap and buffers.",
      lines: [
        ...loads.map((one: Record<string, number>): Line => ({
          what: `${one["tokensForEachRequest"]} tokens for each request`,
          measured: `${one["processorMillisecondsForEachRequest"]} ms each: ` +
            `${one["requestsPerCoreSecond"]?.toFixed(0)} requests/s and ` +
            `${one["tokensPerCoreSecond"]?.toFixed(0)} tokens/s on one core`,
          "two-year size": "",
        })),
        {
          what: "fit: ms for each request, for each token",
          measured: `${intercept.toFixed(2)} + ${slope.toFixed(4)} n`,
          "two-year size": `${cpuMillisecondsPerSecond.toFixed(0)} ms/s: ` +
            describeFit(cpuMillisecondsPerSecond, 1_000) + " one core",
        },
        ...streams.map((one: Record<string, number>): Line => ({
          what: `${one["streams"]} open streams (${one["running"]} running)`,
          measured: `${one["bytesForEach"]} B for each`,
          "two-year size": "",
        })),
        {
          what: "open streams at the two-year size",
          measured: `${openStreams.toFixed(0)} streams of 30 s`,
          "two-year size": `${
            formatMegabytes(openStreams * bytesPerStream)
          } MB`,
        },
        ...delays.map((one: Record<string, number>): Line => ({
          what: `added delay, ${one["callers"]} callers, ${one["pairs"]} pairs`,
          measured: `median ratio ${one["medianRatio"]} ` +
            `(+${one["addedMedianMilliseconds"]} ms), 99th percentile ratio ` +
            `${one["p99Ratio"]} (+${one["addedP99Milliseconds"]} ms)`,
          "two-year size": "bound of first token: 300 ms",
        })),
      ],
    },
    notes: [
      "Added delay under 32 closed-loop callers is queueing in a saturated " +
      "process, far above the two-year load of a daemon.",
      "Memory of streams is the growth of heap and buffers after a garbage " +
      "collection, without the kernel's socket buffers. The first size starts " +
      "with heap left over from the preceding load, so its figure is not " +
      "usable; the derivation uses the largest size.",
    ],
  };
}
