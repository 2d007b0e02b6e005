/**
 * Schemas, merging and validation of process settings and the operators'
 * folder.
 */
export { readConfiguration, toCanonicalText } from "./canonical.ts";
export { diffConfigurations, type Difference } from "./difference.ts";
export { readFolder } from "./folder.ts";
export { isAddress } from "./primitives.ts";
export { formatProblem, type Problem, type ProblemKind } from "./problem.ts";
export {
  type Listeners,
  type LogLevel,
  type ProcessSettings,
  readProcessSettings,
  type Seed,
  type Shutdown,
} from "./process_settings.ts";
export { renderReferencePage as createReferencePage } from "./reference_page.ts";
