/**
 * Formats the results of a replay as a table for the terminal and as an SVG
 * plot.
 */
import type { Check } from "./check.ts";
import type { Measures, Quantiles } from "./measures.ts";
import type { SentRequest } from "./send.ts";

/** Formats one line for each statistic and each check. */
export function formatTable(
  measures: Measures,
  checks: readonly Check[],
): readonly string[] {
  const rows: readonly (readonly [string, string])[] = [
    ["requests", String(measures.requests)],
    ["completed", String(measures.completed)],
    ["refused, not run", String(measures.refused)],
    ["within patience", measures.withinPatience.toFixed(3)],
    ["goodput", `${measures.goodput.toFixed(2)}/s`],
    ["first token", formatQuantiles(measures.firstToken)],
    ["first token, short", formatQuantiles(measures.shortFirstToken)],
    ["  behind long", formatQuantiles(measures.behindLongFirstToken)],
    ["first token, long", formatQuantiles(measures.longFirstToken)],
    ["orders and lookups", formatQuantiles(measures.calls)],
    ["prompt recomputed", measures.recomputed?.toFixed(3) ?? "no prompts"],
    ["link bytes", measures.linkBytes?.toString() ?? "not reported"],
    ["sender late by", `${measures.senderLate.toFixed(1)} ms at most`],
  ];
  const width = Math.max(...rows.map(([name]) => name.length));
  return [
    ...rows.map(([name, value]) => `${name.padEnd(width)}  ${value}`),
    ...checks.map(({ name, passed, seen }) =>
      `${passed ? "passed" : "FAILED"}: ${name} (seen: ${seen})`
    ),
  ];
}

function formatQuantiles({ count, p50, p95, p99, max }: Quantiles): string {
  if (count === 0) return "none";
  const texts = [p50, p95, p99, max].map((value) => value?.toFixed(1));
  return `p50 ${texts[0]}  p95 ${texts[1]}  p99 ${texts[2]}  ` +
    `max ${texts[3]} ms  (${count})`;
}

const WIDTH = 900;
const HEIGHT = 400;
const MARGIN = 50;
const COLOURS = { short: "#1f6f8b", long: "#c0582b", failed: "#b00020" };

/**
 * Creates an SVG scatter plot of the time to first token or response, on a
 * logarithmic scale, over the intended send time.
 */
export function createPlot(sent: readonly SentRequest[]): string {
  const span = Math.max(1, ...sent.map(({ intended }) => intended));
  const latencies = sent.map((one) => one.firstToken ?? one.elapsed);
  const decades = Math.log10(Math.max(10, ...latencies));
  const x = (at: number) => MARGIN + at / span * (WIDTH - 2 * MARGIN);
  const y = (time: number) =>
    HEIGHT - MARGIN -
    Math.max(0, Math.log10(Math.max(1, time))) / decades *
      (HEIGHT - 2 * MARGIN);
  const points = sent.map((one, index) => {
    const isLong = one.request.kind === "chat" && one.request.long;
    const colour = !one.completed
      ? COLOURS.failed
      : isLong
      ? COLOURS.long
      : COLOURS.short;
    return `<circle cx="${x(one.intended).toFixed(1)}" ` +
      `cy="${y(latencies[index] ?? 0).toFixed(1)}" r="2.5" fill="${colour}"/>`;
  });
  const gridLines = Array.from(
    { length: Math.floor(decades) + 1 },
    (_, power) => {
      const at = y(10 ** power).toFixed(1);
      return `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${at}" ` +
        `y2="${at}" stroke="#ddd"/>` +
        `<text x="4" y="${at}" font-size="11">${10 ** power} ms</text>`;
    },
  );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif">` +
    `<text x="${MARGIN}" y="20" font-size="13">time to first token or response ` +
    `over ${(span / 1_000).toFixed(0)} s: short blue, long orange, failed ` +
    `red</text>${gridLines.join("")}${points.join("")}</svg>\n`;
}
