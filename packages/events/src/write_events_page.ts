/**
 * Writes `docs/events.md`. Must run in the root of the repository.
 */
import { writeFileSync } from "node:fs";
import { renderEventsPage } from "./events_page.ts";

writeFileSync("docs/events.md", renderEventsPage());
