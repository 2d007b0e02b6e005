/**
 * Generates the section of docs/measurements.md on placement policies. Two
 * marker comments delimit the section, so that the rest of the page is kept.
 */
import { medianOf } from "../capacity/measuring.ts";
import type { Measures } from "../run/measures.ts";
import type { Measurements, Run } from "./measurements.ts";
import { POLICIES, SCENARIOS, SETUPS } from "./scenarios.ts";

const BEGIN = "<!-- begin: placement policies, from npm run measure -->";
const END = "<!-- end: placement policies -->";
const TITLE = "# Measurements\n";

/**
 * Median ratios that are worse than this are listed. The listed range shows
 * whether the difference is significant.
 */
const LISTED_RATIO = 1.1;

/** A statistic of one scenario that the page compares between policies. */
interface Quantity {
  readonly name: string;
  readonly scenario: string;
  /** True when a higher value is better. */
  readonly more: boolean;
  readonly select: (measures: Measures) => number | null;
}

const QUANTITIES: readonly Quantity[] = [
  {
    ...{ name: "first token, median", scenario: "1x", more: false },
    select: ({ firstToken }) => firstToken.p50,
  },
  {
    ...{ name: "first token, p95", scenario: "1x", more: false },
    select: ({ firstToken }) => firstToken.p95,
  },
  {
    ...{ name: "share recomputed", scenario: "1x", more: false },
    select: ({ recomputed }) => recomputed,
  },
  {
    ...{ name: "link bytes", scenario: "1x", more: false },
    select: ({ linkBytes }) => linkBytes,
  },
  ...["1x", "2x", "5x"].map((scenario): Quantity => ({
    ...{ name: "goodput", scenario, more: true },
    select: ({ goodput }) => goodput,
  })),
  {
    ...{ name: "short behind long, p95", scenario: "1x", more: false },
    select: ({ behindLongFirstToken }) => behindLongFirstToken.p95,
  },
  {
    ...{ name: "short behind long, p95", scenario: "2x", more: false },
    select: ({ behindLongFirstToken }) => behindLongFirstToken.p95,
  },
  {
    ...{ name: "first token, p95", scenario: "one slowed", more: false },
    select: ({ firstToken }) => firstToken.p95,
  },
  {
    ...{ name: "first token, p99", scenario: "one slowed", more: false },
    select: ({ firstToken }) => firstToken.p99,
  },
];

const BASELINES = POLICIES.filter((policy) => policy !== "estimate");

interface Cell {
  readonly median: number;
  readonly text: string;
}

/**
 * Computes the ratio of `estimate` to a baseline for each seed and formats the
 * median and the range. The median is NaN when no seed has both values.
 */
function compareWithBaseline(
  runs: readonly Run[],
  { quantity, baseline, seeds }: {
    readonly quantity: Quantity;
    readonly baseline: string;
    readonly seeds: readonly number[];
  },
): Cell {
  const valueOf = (policy: string, seed: number) => {
    const run = runs.find((one) =>
      one.policy === policy && one.seed === seed &&
      one.scenario === quantity.scenario
    );
    return run === undefined ? null : quantity.select(run.measures);
  };
  const ratios = seeds.flatMap((seed) => {
    const [own, other] = [valueOf("estimate", seed), valueOf(baseline, seed)];
    return own === null || other === null || other === 0 ? [] : own / other;
  });
  if (ratios.length === 0) return { median: NaN, text: "no values" };
  const median = medianOf(ratios);
  const spread = `${Math.min(...ratios).toFixed(2)} to ` +
    Math.max(...ratios).toFixed(2);
  return { median, text: `${median.toFixed(2)} (${spread})` };
}

/** Creates the section as Markdown. */
export function createSection(measurements: Measurements): string {
  const worse: string[] = [];
  const tables = SETUPS.map(({ name }) => {
    const runs = measurements.runs.filter((run) => run.deployment === name);
    const rows = QUANTITIES.map((quantity) => {
      const cells = BASELINES.map((baseline) => {
        const cell = compareWithBaseline(runs, {
          quantity,
          baseline,
          seeds: measurements.seeds,
        });
        const cost = quantity.more ? 1 / cell.median : cell.median;
        if (cost > LISTED_RATIO) {
          worse.push(
            `${name}, ${quantity.name} at ${quantity.scenario}, against ` +
              `${baseline}: ${cell.text}`,
          );
        }
        return cell.text;
      });
      const values = runs.filter((run) =>
        run.policy === "estimate" && run.scenario === quantity.scenario
      ).flatMap((run) => quantity.select(run.measures) ?? []);
      return `| ${quantity.name} | ${quantity.scenario} | ` +
        `${medianOf(values).toPrecision(3)} | ${cells.join(" | ")} |`;
    });
    return [
      `### ${name}\n`,
      `| measure | load | estimate | ${BASELINES.join(" | ")} |`,
      `| --- | --- | --- |${BASELINES.map(() => " --- |").join("")}`,
      ...rows,
      "",
    ].join("\n");
  });
  const repeated = measurements.runs.reduce(
    (sum, run) => sum + run.repeatedOrders,
    0,
  );
  const loads = SCENARIOS.map(({ name, load, duration }) =>
    `${name}: ${load} times capacity for ${duration / 1_000} s`
  ).join("; ");
  return `## Placement policies

Each cell is the ratio of \`estimate\` to the baseline, the median over seeds
with the lowest and the highest ratio. Below 1 is better, except for goodput,
where above 1 is better. The column \`estimate\` has its own median: ms, bytes,
requests/s or a share. Command: \`${measurements.command}\`; seeds
${
    measurements.seeds.join(", ")
  }; commit ${measurements.commit}; Node.js ${measurements.node}. All policies
run in turn on one deployment of 4 daemons and 6 engines (${loads}). The engines
run at 4 times real speed, the caller's patience is 2 s, and the machine is
shared and busy, so only ratios count. The latency between regions is
not simulated. "Capacity" is a nominal 30 requests/s on average over a trace; it
was not measured. A run is shorter than one period of the request rate, so the seeds offer
different loads: seed 1 about twice as much as seeds 2 and 3. A run has 30 to
330 requests, so a p99 is its slowest few, and the differences while one replica
is slowed lie within the spread. Goodput counts responses within patience per
second, including orders and lookups. Link bytes are prompts sent to the other
region. Quantiles are over requests that got a first token, so a policy that
refuses more looks faster.

${tables.join("\n")}
Orders that ran more than once over all runs: ${repeated}.

### What is worse with \`estimate\`

${
    worse.length === 0
      ? "No ratio is worse than 1.1.\n"
      : worse.map((line) => `- ${line}\n`).join("")
  }`;
}

/** Replaces the section in the page, or appends it when there is none. */
export function replaceSection(page: string, section: string): string {
  const marked = `${BEGIN}\n\n${section}\n${END}`;
  const [begin, end] = [page.indexOf(BEGIN), page.indexOf(END)];
  if (begin >= 0 && end > begin) {
    return page.slice(0, begin) + marked + page.slice(end + END.length);
  }
  const start = page === "" ? TITLE : page;
  return `${start.trimEnd()}\n\n${marked}\n`;
}
