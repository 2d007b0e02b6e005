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
    ...renderSeries(family),
    ...renderMaxima(family),
  ];
}

function renderSeries(family: MetricFamily): readonly string[] {
  if (family.kind !== "summary") {
    return [...family.series.entries()].map(([labels, { value }]) =>
      renderSample(family.name, labels, value)
    );
  }
  return [...family.series.entries()].flatMap(([labels, histogram]) => {
    const { p50, p95, p99, sum, count } = histogram.summarize();
    return [
      renderSample(family.name, { ...labels, quantile: "0.5" }, p50),
      renderSample(family.name, { ...labels, quantile: "0.95" }, p95),
      renderSample(family.name, { ...labels, quantile: "0.99" }, p99),
      renderSample(`${family.name}_sum`, labels, sum),
      renderSample(`${family.name}_count`, labels, count),
    ];
  });
}

/** The format has no maximum for summaries, so it is a separate gauge. */
function renderMaxima(family: MetricFamily): readonly string[] {
  if (family.kind !== "summary") return [];
  const name = `${family.name}_max`;
  const samples = [...family.series.entries()].map(([labels, histogram]) =>
    renderSample(name, labels, histogram.summarize().max)
  );
  return [`# TYPE ${name} gauge`, ...samples];
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
