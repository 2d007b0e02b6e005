/**
 * Counts the calls to a platform. Each call counts when it is made, so repeats
 * after a refusal are included, as they are in the platform's rate limit.
 */
import type { Platform } from "@peridotvalve/tables";

export interface PlatformCalls {
  readonly reads: number;
  readonly writes: number;
}

const WRITE_METHODS: ReadonlySet<string | symbol> = new Set([
  "transact",
  "putObject",
]);

/** Wraps a platform; `calls` returns the numbers of calls so far. */
export function countCalls(inner: Platform): {
  readonly platform: Platform;
  readonly calls: () => PlatformCalls;
} {
  const calls = { reads: 0, writes: 0 };
  const platform = new Proxy(inner, {
    get(target, name) {
      const member: unknown = Reflect.get(target, name, target);
      if (typeof member !== "function") return member;
      return (...args: unknown[]) => {
        calls[WRITE_METHODS.has(name) ? "writes" : "reads"] += 1;
        return Reflect.apply(member, target, args);
      };
    },
  });
  return { platform, calls: () => ({ ...calls }) };
}
