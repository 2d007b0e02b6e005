/**
 * Writes `docs/events.md`; run from the root of the repository.
 */
import { writeFileSync } from "node:fs";
import { renderEventsPage } from "./events_page.ts";

writeFileSync("docs/events.md", renderEventsPage());
