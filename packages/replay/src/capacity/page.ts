/**
 * Generates the capacity page from the measured slopes. All figures at the
 * two-year size are computed from the slopes, so that a new measurement updates
 * the page.
 */
import { deriveLines } from "./derivation.ts";
import type { Line } from "./lines.ts";
import type { Slopes } from "./slopes.ts";

const HEADER = `# Capacity at the two-year size

Derived by \`npm run capacity\` from \`docs/capacity_slopes.json\`; change neither
file by hand. The machine that measures is shared and busy, so the times are
medians and only their order of magnitude is stable.

The two-year size (\`docs/design.md\`, section 3): 360 daemons and 730 replicas in
2 regions and 8 availability zones (45 daemons and 91 replicas in each), 5,800
accelerators, 3,200 requests/s and 1.4 M tokens/s (8.9 requests/s and 3,900
tokens/s for a daemon), 250,000 prompts, 300 customers, 4 models, 650
configuration changes a day in force within 5 s, 18 VM failures and 63 restarts a
day. Control may use 2% of a core (20 ms/s), 32 MB and 12 KB/s in a daemon.

A line that exceeds its bound is marked "does not fit", with the change that
will bring it within the bound. A line that was not measured is marked "not measured". The
replicas' accelerators (8 each) do not appear in any state or message of the
system.
`;

/** Creates the page as Markdown. */
export function createPage(slopes: Slopes): string {
  const { sections, notes } = deriveLines(slopes);
  return [
    HEADER,
    ...sections.flatMap(({ title, text, lines }) => [
      `## ${title}\n`,
      ...(text === "" ? [] : [`${text}\n`]),
      formatTable(lines),
    ]),
    "## Lines that do not fit or are not measured\n",
    notes.map((note) => `- ${note}\n`).join(""),
    "## Commands\n",
    formatCommands(slopes),
  ].join("\n");
}

function formatTable(lines: readonly Line[]): string {
  const columns = [...new Set(lines.flatMap((line) => Object.keys(line)))];
  const rows = lines.map((line) =>
    columns.map((column) => line[column] ?? "").join(" | ")
  );
  return [
    `| ${columns.join(" | ")} |`,
    `| ${columns.map(() => "---").join(" | ")} |`,
    ...rows.map((row) => `| ${row} |`),
    "",
  ].join("\n");
}

function formatCommands(slopes: Slopes): string {
  return formatTable(
    Object.entries(slopes).map(([name, slope]) => ({
      slope: name,
      command: `\`${slope.command}\``,
      sizes: slope.sizes,
      seed: String(slope.seed ?? "none"),
      commit: slope.commit,
      "Node.js": slope.node,
    })),
  );
}
