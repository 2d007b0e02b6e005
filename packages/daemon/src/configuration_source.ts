/**
 * Where a daemon's configuration comes from: the platform's head, or the
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

/** Change id of a configuration that the operators' folder gives. */
export const FOLDER_CHANGE = "folder";

const FOLDER_POLL_INTERVAL: Milliseconds = 1_000;

/** Checks a stored configuration. */
export function checkContent(content: Json): Result<Configuration, string> {
  return readConfiguration(JSON.stringify(content)).mapErr((problems) =>
    problems.map(formatProblem).join("; ")
  );
}

/** The operators' folder as a stored configuration. */
export async function readBootstrap(
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

/** Follows a folder that another system writes. Its version is always 0. */
function createFolderWatch(
  folder: string | undefined,
  clock: Clock,
): ConfigurationWatch {
  const subscribers = new Set<(value: VersionedConfiguration) => void>();
  const stopped = new AbortController();
  let current: VersionedConfiguration | undefined;
  let text = "";

  async function reread(): Promise<void> {
    const read = await readOperatorsFolder(folder);
    if (read.isErr()) return;
    const now = JSON.stringify(read.value);
    if (now === text) return;
    text = now;
    current = { version: 0, change: FOLDER_CHANGE, content: read.value };
    for (const subscriber of subscribers) subscriber(current);
  }

  async function rereadForever(): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(FOLDER_POLL_INTERVAL, stopped.signal);
      await reread();
    }
  }

  return new (class extends ConfigurationWatch {
    override current(): VersionedConfiguration | undefined {
      return current;
    }

    override announce(): void {}

    override subscribe(
      subscriber: (configuration: VersionedConfiguration) => void,
    ): () => void {
      subscribers.add(subscriber);
      return () => subscribers.delete(subscriber);
    }

    override async start(): Promise<void> {
      await reread();
      void rereadForever();
    }

    override stop(): void {
      stopped.abort();
    }
  })();
}
