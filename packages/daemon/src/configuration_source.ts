/**
 * Selects the source of a daemon's configuration: the platform's head, or the
 * operators' folder while the duty `configuration` is off.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  ConfigurationWatch,
  type ConfigurationWatchOptions,
  createConfigurationWatch,
} from "@peridotvalve/configuration";
import type { Json } from "@peridotvalve/tables";
import {
  formatProblem,
  readConfiguration,
  readFolder,
} from "@peridotvalve/settings";
import type {
  Configuration,
  Milliseconds,
  VersionedConfiguration,
} from "@peridotvalve/types";
import { Err, type Result } from "ts-results-es";
import { isDutyOn } from "./callers/duties.ts";

/** Change id of a configuration that was read from the operators' folder. */
export const FOLDER_CHANGE_ID = "folder";

const FOLDER_POLL_INTERVAL: Milliseconds = 1_000;

/** Validates a stored configuration; the error lists all problems. */
export function validateContent(content: Json): Result<Configuration, string> {
  return readConfiguration(JSON.stringify(content)).mapErr((problems) =>
    problems.map(formatProblem).join("; ")
  );
}

/** Reads the operators' folder in the form of a stored configuration. */
export async function readBootstrapConfiguration(
  folder: string | undefined,
): Promise<Result<Json, string>> {
  const read = await readOperatorsFolder(folder);
  return read.map((configuration) => configuration as unknown as Json);
}

export async function createConfigurationSource(
  folder: string | undefined,
  options: ConfigurationWatchOptions & { readonly clock: Clock },
): Promise<ConfigurationWatch> {
  const read = await readOperatorsFolder(folder);
  const isOff = read.isOk() && !isDutyOn(read.value, {
    duty: "configuration",
    route: "",
    customer: "",
  });
  if (isOff) return createFolderWatch(folder, options.clock);
  return createConfigurationWatch(options);
}

async function readOperatorsFolder(
  folder: string | undefined,
): Promise<Result<Configuration, string>> {
  if (folder === undefined) return Err("no bootstrap folder is set");
  const read = await readFolder(folder);
  return read.mapErr((problems) => problems.map(formatProblem).join("; "));
}

/**
 * Polls a folder that another system writes. Its version is always 0. While the
 * folder cannot be read or is invalid, the last valid configuration is kept.
 */
function createFolderWatch(
  folder: string | undefined,
  clock: Clock,
): ConfigurationWatch {
  const subscribers = new Set<(value: VersionedConfiguration) => void>();
  const stopped = new AbortController();
  let current: VersionedConfiguration | undefined;
  let currentSerialized = "";

  async function reload(): Promise<void> {
    const read = await readOperatorsFolder(folder);
    if (read.isErr()) return;
    const serialized = JSON.stringify(read.value);
    if (serialized === currentSerialized) return;
    currentSerialized = serialized;
    current = { version: 0, change: FOLDER_CHANGE_ID, content: read.value };
    for (const subscriber of subscribers) subscriber(current);
  }

  async function reloadUntilStopped(): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(FOLDER_POLL_INTERVAL, stopped.signal);
      await reload();
    }
  }

  return new (class extends ConfigurationWatch {
    override current(): VersionedConfiguration | undefined {
      return current;
    }

    override announce(): void {}

    override recordPeerRead(): void {}

    /** The head is not read while the folder is the source. */
    override readAge(): Milliseconds {
      return Infinity;
    }

    override subscribe(
      subscriber: (configuration: VersionedConfiguration) => void,
    ): () => void {
      subscribers.add(subscriber);
      return () => subscribers.delete(subscriber);
    }

    override async start(): Promise<void> {
      await reload();
      void reloadUntilStopped();
    }

    override stop(): void {
      stopped.abort();
    }
  })();
}
