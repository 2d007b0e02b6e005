/**
 * Starts a deployment as processes: one platform, one engine for each replica,
 * one store VM for each VM of the cache groups, one process for each address of
 * a service, the legacy system if there is one, and the daemons.
 */
import { mkdirSync, mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { readFolder, readProcessSettings } from "@peridotvalve/settings";
import type { ProcessSettings } from "@peridotvalve/settings";
import type { Configuration } from "@peridotvalve/types";
import { copyExample, type YamlEdit } from "./example.ts";
import {
  type Process,
  productCommand,
  standinCommand,
  startProcess,
} from "./processes.ts";

export interface DeploymentOptions {
  /** Folder of the example, such as "examples/koiratakki". */
  readonly example: string;
  /** Names of the daemons to start; all when absent. */
  readonly daemons?: readonly string[];
  /** Model groups whose engines are started; all when absent. */
  readonly groups?: readonly string[];
  /** Path of the product's binary; when absent, its sources are run. */
  readonly binary?: string | undefined;
  /** Seed of the stand-ins. */
  readonly seed?: number;
  /** Changes the YAML files of the copied example before they are used. */
  readonly edit?: YamlEdit;
  /** Additional command-line arguments of each engine. */
  readonly engineArguments?: readonly string[];
}

export interface Deployment {
  /** Temporary folder with the copied example and the logs. */
  readonly root: string;
  /** The copied example. */
  readonly folder: string;
  readonly configuration: Configuration;
  /** Settings of all daemons by name. */
  readonly settings: ReadonlyMap<string, ProcessSettings>;
  /** API keys by customer. */
  readonly keys: Readonly<Record<string, string>>;
  readonly operatorToken: string;
  /** Path of the file that contains the operator token. */
  readonly tokenFile: string;
  /**
   * All processes by name: daemons, replicas, store VMs, services, "platform"
   * and "legacy".
   */
  readonly processes: ReadonlyMap<string, Process>;
  /** Restarts a process that has exited. */
  restart(name: string): Promise<Process>;
  /** Starts a daemon of the example that `daemons` left out. */
  startDaemon(name: string): Promise<Process>;
  /** Path of the log file of a process. */
  logFileOf(name: string): string;
  /** Host and port of a process; throws when the name is unknown. */
  addressOf(name: string): string;
  /** Changes faults of a stand-in; those that are not named stay. */
  setFaults(name: string, faults: unknown): Promise<void>;
  /**
   * Stops the daemons gracefully, then kills the stand-ins. Resolves with the
   * exit codes of the daemons by name.
   */
  stop(): Promise<ReadonlyMap<string, number | null>>;
}

interface Standin {
  readonly name: string;
  readonly address: string;
  readonly args: readonly string[];
}

/**
 * Starts all processes and resolves once they are ready. Rejects when the
 * example is invalid or a process exits before it is ready; the other processes
 * are then killed, and the logs stay.
 */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const root = mkdtempSync(join(tmpdir(), "peridotvalve-"));
  const logs = join(root, "logs");
  mkdirSync(logs);
  const { example, edit } = options;
  const copy = await copyExample(example, join(root, basename(example)), edit);
  const configuration = (await readFolder(join(copy.folder, "operators")))
    .unwrap();
  const settings = await readAllSettings(copy.folder);
  const standins = listStandins(configuration, {
    platform: [...settings.values()][0]?.platform ?? "",
    options,
    journals: logs,
  });
  const processes = new Map<string, Process>();
  const logFileOf = (name: string) => join(logs, `${name}.log`);

  async function startStandin(standin: Standin): Promise<Process> {
    const port = standin.address.split(":")[1] ?? "0";
    const started = startProcess({
      name: standin.name,
      commandLine: standinCommand([...standin.args, "--port", port]),
      logFile: logFileOf(standin.name),
    });
    processes.set(standin.name, started);
    await started.waitForLine((line) => line.includes("listening"));
    return started;
  }

  async function startDaemon(name: string): Promise<Process> {
    const file = join(copy.folder, "settings", `${name}.yaml`);
    const started = startProcess({
      name,
      commandLine: productCommand(
        ["serve", "--settings", file],
        options.binary,
      ),
      logFile: logFileOf(name),
    });
    processes.set(name, started);
    await started.waitForLine((line) => line.includes("process_ready"));
    return started;
  }

  function addressOf(name: string): string {
    const standin = standins.find((candidate) => candidate.name === name);
    const address = standin?.address ?? settings.get(name)?.listeners.callers;
    if (address === undefined) throw new Error(`no process named ${name}`);
    return address;
  }

  try {
    await Promise.all(standins.map(startStandin));
    const names = options.daemons ?? [...settings.keys()];
    await Promise.all(names.map(startDaemon));
  } catch (error) {
    await Promise.all([...processes.values()].map((child) => child.kill()));
    const text = error instanceof Error ? error.message : String(error);
    throw new Error(`${text}; logs are in ${logs}`, { cause: error });
  }

  return {
    root,
    folder: copy.folder,
    configuration,
    settings,
    keys: JSON.parse(
      readFileSync(join(copy.folder, "keys.example.json"), "utf8"),
    ) as Readonly<Record<string, string>>,
    operatorToken: [...settings.values()][0]?.operatorToken ?? "",
    tokenFile: join(copy.folder, "operator-token"),
    processes,
    logFileOf,
    addressOf,
    startDaemon,
    restart(name) {
      const standin = standins.find((candidate) => candidate.name === name);
      return standin === undefined ? startDaemon(name) : startStandin(standin);
    },
    async setFaults(name, faults) {
      await fetch(`http://${addressOf(name)}/control/faults`, {
        method: "POST",
        body: JSON.stringify(faults),
      });
    },
    async stop() {
      const codes = new Map<string, number | null>();
      const daemons = [...processes].filter(([name]) => settings.has(name));
      const standinProcesses = [...processes].filter(([name]) =>
        !settings.has(name)
      );
      const stopProcess = async ([name, child]: readonly [string, Process]) => {
        // A process that a test has suspended would not handle SIGTERM.
        child.signal("SIGCONT");
        codes.set(name, await child.stop());
      };
      await Promise.all(daemons.map(stopProcess));
      await Promise.all(standinProcesses.map(([, child]) => child.kill()));
      return codes;
    },
  };
}

async function readAllSettings(
  folder: string,
): Promise<ReadonlyMap<string, ProcessSettings>> {
  const files = readdirSync(join(folder, "settings")).sort();
  const settings = new Map<string, ProcessSettings>();
  for (const file of files) {
    const read = await readProcessSettings(join(folder, "settings", file));
    const value = read.unwrap();
    settings.set(value.name, value);
  }
  return settings;
}

function listStandins(
  configuration: Configuration,
  context: {
    readonly platform: string;
    readonly options: DeploymentOptions;
    /**
     * Folder of the files in which services keep their calls across restarts.
     */
    readonly journals: string;
  },
): readonly Standin[] {
  const { options, platform, journals } = context;
  const seed = ["--seed", String(options.seed ?? 1)];
  const groups = Object.entries(configuration.groups)
    .filter(([name]) => options.groups?.includes(name) ?? true);
  const engines = groups.flatMap(([, group]) =>
    Object.entries(group.replicas).map(([name, replica]) => ({
      name,
      address: replica.address,
      args: [
        "engine",
        ...seed,
        ...["--weights", group.weights],
        ...["--tokensPerBlock", String(group.tokensPerBlock)],
        ...["--checksFencing", String(group.checksFencing)],
        ...["--prefillTokensPerSecond", String(replica.prefillTokensPerSecond)],
        ...(options.engineArguments ?? []),
      ],
    }))
  );
  const stores = Object.values(configuration.caches).flatMap((cache) =>
    Object.entries(cache.vms).map(([name, vm]) => ({
      name,
      address: vm.address,
      args: ["store-vm", ...seed],
    }))
  );
  const services = Object.entries(configuration.services).flatMap((
    [name, service],
  ) =>
    service.addresses.map((address, index) => ({
      name: `${name}-${index + 1}`,
      address,
      args: [
        "service",
        ...seed,
        ...["--journal", join(journals, `${name}-${index + 1}.calls`)],
      ],
    }))
  );
  const legacy = configuration.legacy === undefined ? [] : [{
    name: "legacy",
    address: configuration.legacy.address,
    args: ["legacy", ...seed],
  }];
  return [
    { name: "platform", address: platform, args: ["platform", ...seed] },
    ...engines,
    ...stores,
    ...services,
    ...legacy,
  ];
}
