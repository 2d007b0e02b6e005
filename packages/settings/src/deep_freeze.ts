/**
 * Freezes plain data recursively.
 */

/** Freezes a value and all nested values, and returns it. */
export function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== "object" || value === null) return value;
  for (const child of Object.values(value)) deepFreeze(child);
  return Object.freeze(value);
}
