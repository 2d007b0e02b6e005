/**
 * Renders `docs/events.md` from the event catalogue. `npm run docs:events`
 * writes the page.
 */
import { AREAS, CATALOGUE, type EventTraits } from "./catalogue.ts";

const NUMBERS_PER_AREA = 1_000;

export function renderEventsPage(): string {
  const sections = Object.entries(AREAS).map(([areaNumber, area]) =>
    renderArea(Number(areaNumber), area)
  );
  const intro =
    "# Events\n\nGenerated from `packages/events/src/catalogue.ts` by " +
    "`npm run docs:events`.\nNumbers are never reused.\n";
  return [intro, ...sections].join("\n");
}

function renderArea(areaNumber: number, area: string): string {
  const events = Object.entries(CATALOGUE)
    .filter(([, traits]) =>
      Math.floor(traits.number / NUMBERS_PER_AREA) === areaNumber
    )
    .map(([name, traits]) => renderEvent(name, traits));
  return [`## ${areaNumber}xxx: ${area}\n`, ...events].join("\n") + "\n";
}

function renderEvent(name: string, traits: EventTraits): string {
  const fields = Object.entries(traits.fields)
    .map(([field, type]) => `\`${field}\` (${type})`)
    .join(", ");
  const suffix = fields === "" ? "" : ` Fields: ${fields}.`;
  return `- **${traits.number}** \`${name}\` (${traits.level}):` +
    ` ${traits.message}${suffix}`;
}
