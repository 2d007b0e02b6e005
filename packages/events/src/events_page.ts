/**
 * Renders `docs/events.md` from the catalogue. Run it with
 * `npm run docs:events`.
 */
import { AREAS, CATALOGUE, type EventTraits } from "./catalogue.ts";

const AREA_SIZE = 1_000;

export function renderEventsPage(): string {
  const sections = Object.entries(AREAS).map(([thousands, area]) =>
    renderArea(Number(thousands), area)
  );
  const intro =
    "# Events\n\nGenerated from `packages/events/src/catalogue.ts` by " +
    "`npm run docs:events`.\nNumbers are never reused.\n";
  return [intro, ...sections].join("\n");
}

function renderArea(thousands: number, area: string): string {
  const events = Object.entries(CATALOGUE)
    .filter(([, traits]) => Math.floor(traits.number / AREA_SIZE) === thousands)
    .map(([name, traits]) => renderEvent(name, traits));
  return [`## ${thousands}xxx: ${area}\n`, ...events].join("\n") + "\n";
}

function renderEvent(name: string, traits: EventTraits): string {
  const fields = Object.entries(traits.fields)
    .map(([field, type]) => `\`${field}\` (${type})`)
    .join(", ");
  const suffix = fields === "" ? "" : ` Fields: ${fields}.`;
  return `- **${traits.number}** \`${name}\` (${traits.level}):` +
    ` ${traits.sentence}${suffix}`;
}
