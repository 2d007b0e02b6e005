/**
 * Parses JSON that another program wrote. Values that are nested deeply are
 * refused, since V8 writes, copies and compares values recursively and then ends
 * with a `RangeError`.
 */
import type { Json } from "./platform.ts";

const MAX_DEPTH = 64;

/** Returns undefined for text that is not JSON or is nested too deeply. */
export function parseJson(text: string): Json | undefined {
  if (isTooDeep(text)) return undefined;
  try {
    return JSON.parse(text) as Json;
  } catch {
    // The consumer of the value logs what is missing.
    return undefined;
  }
}

/** Counts brackets outside of strings, where they may stand freely. */
function isTooDeep(text: string): boolean {
  if (text.length <= 2 * MAX_DEPTH) return false;
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at += 1) {
    const character = text[at];
    if (character === '"') isInString = !isInString;
    else if (isInString) {
      if (character === "\\") at += 1;
    } else if (character === "[" || character === "{") {
      depth += 1;
      if (depth > MAX_DEPTH) return true;
    } else if (character === "]" || character === "}") depth -= 1;
  }
  return false;
}
