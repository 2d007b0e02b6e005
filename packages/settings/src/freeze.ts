/**
 * Deep freezing of plain data.
 */

/** Freezes the value and everything in it, and returns it. */
export function freeze<Value>(value: Value): Value {
  if (typeof value !== "object" || value === null) return value;
  for (const child of Object.values(value)) freeze(child);
  return Object.freeze(value);
}
