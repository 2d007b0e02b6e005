/**
 * Renders metrics in the Prometheus text format, version 0.0.4.
 */
import type { WindowedHistogram } from "./histogram.ts";
import type { Labels, SeriesMap } from "./series.ts";

export type MetricFamily =
  & { readonly name: string; readonly help: string }
  & (
    | {
      readonly kind: "counter" | "gauge";
      readonly series: SeriesMap<{ value: number }>;
    }
    | {
      readonly kind: "summary";
      /** Number of recorded units in one unit of the page. */
      readonly unit: number;
      readonly series: SeriesMap<WindowedHistogram>;
    }
  );

export function renderFamilies(families: readonly MetricFamily[]): string {
  return families.flatMap(renderFamily).map((line) => `${line}\n`).join("");
}

function renderFamily(family: MetricFamily): readonly string[] {
  return [
    `# HELP ${family.name} ${escapeHelp(family.help)}`,
    `# TYPE ${family.name} ${family.kind}`,
    ...(family.kind === "summary"
      ? renderSummaries(family)
      : [...family.series.entries()].map(([labels, { value }]) =>
        renderSample(family.name, labels, value)
      )),
  ];
}

function renderSummaries(
  { name, unit, series }: Extract<MetricFamily, { readonly kind: "summary" }>,
): readonly string[] {
  const summaries = [...series.entries()].map(([labels, histogram]) =>
    [labels, histogram.summarize()] as const
  );
  const samples = summaries.flatMap(([labels, summary]) => [
    renderSample(name, { ...labels, quantile: "0.5" }, summary.p50 / unit),
    renderSample(name, { ...labels, quantile: "0.95" }, summary.p95 / unit),
    renderSample(name, { ...labels, quantile: "0.99" }, summary.p99 / unit),
    renderSample(`${name}_sum`, labels, summary.sum / unit),
    renderSample(`${name}_count`, labels, summary.count),
  ]);
  // The format has no maximum for summaries, so it is a separate gauge.
  const maximum = `${name}_max`;
  const maxima = summaries.map(([labels, { max }]) =>
    renderSample(maximum, labels, max / unit)
  );
  return [...samples, `# TYPE ${maximum} gauge`, ...maxima];
}

function renderSample(name: string, labels: Labels, value: number): string {
  const pairs = Object.entries(labels).map(([label, text]) =>
    `${label}="${escapeValue(text)}"`
  );
  const suffix = pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
  return `${name}${suffix} ${renderNumber(value)}`;
}

function renderNumber(value: number): string {
  if (Number.isNaN(value)) return "NaN";
  if (Number.isFinite(value)) return String(value);
  return value > 0 ? "+Inf" : "-Inf";
}

function escapeHelp(text: string): string {
  return text.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
}

function escapeValue(text: string): string {
  return escapeHelp(text).replaceAll('"', '\\"');
}
