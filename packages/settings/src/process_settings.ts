/**
 * Reads the settings of one process.
 */
import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";
import { createFileProblem } from "./folder.ts";
import { deepFreeze } from "./deep_freeze.ts";
import type { Problem } from "./problem.ts";
import { processSchema, secretTextSchema } from "./process_schema.ts";
import { toProblems } from "./schema_problems.ts";
import {
  findLocation,
  parseSource,
  type SourceTree,
  toValue,
} from "./source_tree.ts";

export type LogLevel =
  | "trace"
  | "debug"
  | "info"
  | "warn"
  | "error"
  | "fatal";

/** Settings of one process, with secrets loaded and paths resolved. */
export interface ProcessSettings {
  readonly name: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly listeners: Listeners;
  /** Address of the platform's store. */
  readonly platform: string;
  /** Peer listeners of other daemons, for the first contact. */
  readonly seeds: readonly Seed[];
  readonly peerSecret: string;
  readonly operatorToken: string;
  /** Absolute path of the bootstrap operators' folder. */
  readonly bootstrapFolder?: string;
  readonly logLevel: LogLevel;
  readonly shutdown: Shutdown;
  readonly vm: Vm;
  /** Duration of the leases that this process acquires. */
  readonly leaseDuration: Milliseconds;
}

/** The VM of the process; what is absent is read from the system. */
export interface Vm {
  readonly memory?: Bytes;
  readonly descriptors?: number;
}

export interface Seed {
  readonly address: string;
  readonly availabilityZone: string;
}

export interface Listeners {
  readonly callers: string;
  /** HTTP over TCP and datagrams over UDP, on the same port. */
  readonly peers: string;
  readonly operators: string;
}

export interface Shutdown {
  readonly balancerDelay: Milliseconds;
  readonly requestLimit: Milliseconds;
  readonly limit: Milliseconds;
}

/** Reads and validates a settings file and the secret files it names. */
export async function readProcessSettings(
  file: string,
): Promise<Result<ProcessSettings, readonly Problem[]>> {
  const text = await readText(file);
  if (text.isErr()) return Err([text.error]);
  const { tree, problems } = parseSource(file, text.value);
  if (problems.length > 0) return Err(problems);
  const parsed = processSchema.safeParse(toValue(tree), { reportInput: true });
  if (!parsed.success) {
    return Err(toProblems(processSchema, { error: parsed.error, tree }));
  }
  return await resolveSettings(file, { settings: parsed.data, tree });
}

interface UnresolvedSettings {
  readonly settings: z.infer<typeof processSchema>;
  readonly tree: SourceTree;
}

async function resolveSettings(
  file: string,
  { settings, tree }: UnresolvedSettings,
): Promise<Result<ProcessSettings, readonly Problem[]>> {
  const baseFolder = dirname(file);
  const peer = await readSecret(baseFolder, settings.peerSecret);
  const operator = await readSecret(baseFolder, settings.operatorToken);
  if (peer.isErr() || operator.isErr()) {
    const secrets = { peerSecret: peer, operatorToken: operator };
    return Err(
      Object.entries(secrets).flatMap(([key, result]) => {
        if (result.isOk()) return [];
        const location = findLocation(tree, [key]);
        return [{
          kind: "value" as const,
          ...location,
          key,
          message: result.error,
        }];
      }),
    );
  }
  const { bootstrapFolder, ...rest } = settings;
  return Ok(deepFreeze({
    ...rest,
    peerSecret: peer.value,
    operatorToken: operator.value,
    ...(bootstrapFolder === undefined
      ? {}
      : { bootstrapFolder: resolve(baseFolder, bootstrapFolder) }),
  }));
}

type SecretSource = z.infer<typeof processSchema>["peerSecret"];

async function readSecret(
  baseFolder: string,
  secret: SecretSource,
): Promise<Result<string, string>> {
  if ("value" in secret) return checkSecret(secret.value);
  const text = await readText(resolve(baseFolder, secret.file));
  if (text.isErr()) return Err(text.error.message);
  // Editors add a final newline, which is not part of the secret.
  return checkSecret(text.value.trimEnd());
}

function checkSecret(text: string): Result<string, string> {
  const parsed = secretTextSchema.safeParse(text);
  if (parsed.success) return Ok(text);
  return Err(parsed.error.issues.map((issue) => issue.message).join("; "));
}

async function readText(file: string): Promise<Result<string, Problem>> {
  try {
    return Ok(await readFile(file, "utf8"));
  } catch (error) {
    return Err(createFileProblem(file, (error as Error).message));
  }
}
