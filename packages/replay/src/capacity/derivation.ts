/**
 * Derives the sections of the capacity page by multiplying the measured slopes
 * by the two-year sizes.
 */
import { deriveControl } from "./control.ts";
import { deriveDataPath } from "./data_path.ts";
import type { Section } from "./lines.ts";
import { derivePlatform } from "./platform_load.ts";
import type { Slopes } from "./slopes.ts";

export function deriveLines(slopes: Slopes): {
  readonly sections: readonly Section[];
  readonly notes: readonly string[];
} {
  const control = deriveControl(slopes);
  const platform = derivePlatform(slopes);
  const data = deriveDataPath(slopes);
  return {
    sections: [control.section, platform.section, data.section],
    notes: [...control.notes, ...platform.notes, ...data.notes],
  };
}
