/**
 * Builds the daemon with one mechanism removed, to verify that a check detects
 * its absence. The source text is edited while it is bundled; the files do not
 * change.
 */
import { chmodSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build, type Plugin } from "esbuild";

const PACKAGES_FOLDER = fileURLToPath(new URL("../..", import.meta.url));
const ENTRY = join(PACKAGES_FOLDER, "cli/src/main.ts");
const EXECUTABLE_MODE = 0o755;

// Optional serializers and transporters of moleculer that are not used.
const EXTERNAL_MODULES = ["avsc", "kafka-node", "protobufjs/minimal", "thrift"];

interface SourceEdit {
  /** Path below the packages folder. */
  readonly file: string;
  /** Text that must occur exactly once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** Source edits that remove a mechanism, by name of the mechanism. */
export const MECHANISM_EDITS = {
  /** Claim rows are written without checking that none exists. */
  "claims": [{
    file: "claims/src/claims.ts",
    find: "checks: [{ ...key, version: replaced }],",
    replace: "checks: [],",
  }],
  /** Idempotency keys are shared by all customers. */
  "claim customers": [{
    file: "claims/src/call.ts",
    find: "const key = `${encodeURIComponent(customer)}/${hash}`;",
    replace: "const key = hash;",
  }, {
    file: "claims/src/claims.ts",
    find:
      'if (row.fingerprint !== fingerprint) return { kind: "different call" };',
    replace: "",
  }],
  /** Orders that were sent are refused with `ran: "no"`. */
  "refusals": [{
    file: "daemon/src/services/order.ts",
    find: "return Err(outcomeUnknown(describe(failure)));",
    replace: 'return Err({ ...outcomeUnknown(""), ran: "no" });',
  }],
  /** Tokens are accepted whatever their offset and attempt. */
  "offset checks": [{
    file: "upstreams/src/event_check.ts",
    find: "if (event.offset !== next) {",
    replace: "if (false as boolean) {",
  }, {
    file: "upstreams/src/event_check.ts",
    find: "if (event.count !== next) {",
    replace: "if (false as boolean) {",
  }, {
    file: "upstreams/src/event_check.ts",
    find: "if (event.attempt !== generation.attempt) {",
    replace: "if (false as boolean) {",
  }, {
    file: "retries/src/relay.ts",
    find: 'if (event.attempt !== record.attempt) return Err("other attempt");',
    replace: "",
  }, {
    file: "retries/src/relay.ts",
    find: 'if (event.offset < record.offset) return Err("repeated token");',
    replace: "",
  }, {
    file: "retries/src/relay.ts",
    find: 'if (event.offset > record.offset) return Err("skipped token");',
    replace: "",
  }, {
    file: "retries/src/relay.ts",
    find:
      'if (event.finish !== "cancelled" && event.count !== record.offset) {',
    replace: "if (false as boolean) {",
  }],
  /** Leaving engines are still selected for new work. */
  "leaving marks": [{
    file: "daemon/src/fleet/replica.ts",
    find: "isLeaving() {",
    replace: "isLeaving() { return false;",
  }, {
    file: "daemon/src/fleet/fleet.ts",
    find: 'return replica.report()?.state ?? "ready";',
    replace: 'return "ready";',
  }],
  /** SIGTERM ends the process immediately. */
  "graceful shutdown": [{
    file: "daemon/src/run.ts",
    find: "await daemon.value.stop(await signalled);",
    replace: "await signalled; process.exit(0);",
  }],
  /** Daemons ignore the versions in heartbeats and do not poll. */
  "configuration propagation": [{
    file: "daemon/src/daemon.ts",
    find: "configuration.announce(version, address),",
    replace: "void [version, address],",
  }, {
    file: "daemon/src/daemon.ts",
    find: "const READERS = 2;",
    replace: "const READERS = 0;",
  }],
  /** A daemon that starts during a platform outage asks no peers. */
  "start from peers": [{
    file: "daemon/src/daemon.ts",
    find: "configuration.announce(version, address),",
    replace: "void [version, address],",
  }, {
    file: "configuration/src/watch.ts",
    find: "await Promise.all(options.peers().map(fetchFrom));",
    replace: "",
  }],
} satisfies Readonly<Record<string, readonly SourceEdit[]>>;

/** Removed in the platform stand-in and not in the daemons. */
export const TRANSACTION_CHECKS = "transaction checks";

export type Mechanism =
  | keyof typeof MECHANISM_EDITS
  | typeof TRANSACTION_CHECKS;

export function isMechanism(name: string): name is Mechanism {
  return name in MECHANISM_EDITS || name === TRANSACTION_CHECKS;
}

/**
 * Bundles the daemon into a temporary folder and returns the path of the
 * program. Throws when the text of an edit does not occur exactly once.
 */
export async function buildDaemon(without?: Mechanism): Promise<string> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-build-"));
  const program = join(folder, "peridotvalve.cjs");
  const edits: readonly SourceEdit[] =
    without === undefined || without === TRANSACTION_CHECKS
      ? []
      : MECHANISM_EDITS[without];
  await build({
    entryPoints: [ENTRY],
    outfile: program,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    external: EXTERNAL_MODULES,
    define: { PERIDOTVALVE_VERSION: JSON.stringify("history") },
    banner: { js: `#!${process.execPath}` },
    plugins: [createEditPlugin(edits)],
    logLevel: "warning",
  });
  chmodSync(program, EXECUTABLE_MODE);
  return program;
}

function createEditPlugin(edits: readonly SourceEdit[]): Plugin {
  return {
    name: "removal",
    setup(build) {
      build.onLoad({ filter: /\/packages\/[^/]+\/src\/.*\.ts$/ }, (args) => {
        const fileEdits = edits.filter(({ file }) => args.path.endsWith(file));
        if (fileEdits.length === 0) return undefined;
        const text = readFileSync(args.path, "utf8");
        return { loader: "ts", contents: fileEdits.reduce(applyEdit, text) };
      });
    },
  };
}

function applyEdit(text: string, { file, find, replace }: SourceEdit): string {
  if (text.split(find).length !== 2) {
    throw new Error(
      `${file} does not contain ${JSON.stringify(find)} exactly once`,
    );
  }
  return text.replace(find, () => replace);
}
