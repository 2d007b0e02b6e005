/**
 * Takes changed settings into a running daemon.
 */
import { isDeepStrictEqual } from "node:util";
import type { GatewaySettings } from "./options.ts";

export interface ChangedSettings {
  readonly settings: GatewaySettings;
  /** Names of the settings that have changed and need a restart. */
  readonly needRestart: readonly (keyof GatewaySettings)[];
}

/** Settings that take effect while the daemon runs. */
const CHANGEABLE: ReadonlySet<keyof GatewaySettings> = new Set([
  "grace",
  "mixedPrompts",
  "weightGracePeriod",
  "retryRatio",
  "retrySlack",
  "coldTolerance",
]);

export function takeChangedSettings(
  present: GatewaySettings,
  next: GatewaySettings,
): ChangedSettings {
  const names = [
    ...new Set([...Object.keys(present), ...Object.keys(next)]),
  ] as (keyof GatewaySettings)[];
  const changed = names.filter((name) =>
    !isDeepStrictEqual(present[name], next[name])
  );
  const changeable = changed.filter((name) => CHANGEABLE.has(name));
  const changes = changeable.map((name) => [name, next[name]]);
  return {
    settings: { ...present, ...Object.fromEntries(changes) },
    needRestart: changed.filter((name) => !CHANGEABLE.has(name)),
  };
}
