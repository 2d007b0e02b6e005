/**
 * Builds the daemon with one mechanism taken out, so that a check can be seen
 * to fail. The sources stay as they are; the change is made to their text
 * while it is bundled.
 */
import { chmodSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build, type Plugin } from "esbuild";

const PACKAGES = fileURLToPath(new URL("../..", import.meta.url));
const ENTRY = join(PACKAGES, "cli/src/main.ts");
const EXECUTABLE = 0o755;

// Optional serializers and transporters of moleculer that stay unused.
const EXTERNAL = ["avsc", "kafka-node", "protobufjs/minimal", "thrift"];

interface Removal {
  /** Path below the packages folder. */
  readonly file: string;
  /** Text that must be there once. */
  readonly find: string;
  readonly replace: string;
}

/** Mechanisms that can be taken out, by name. */
export const REMOVALS = {
  /** Claim rows are written without the check that none is there. */
  "claims": [{
    file: "claims/src/claims.ts",
    find: "checks: [{ ...key, version: replaced }],",
    replace: "checks: [],",
  }],
  /** Customers share their idempotency keys. */
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
  /** Orders are refused as not run although they were sent. */
  "refusals": [{
    file: "daemon/src/services/order.ts",
    find: "return Err(outcomeUnknown(describe(failure)));",
    replace: 'return Err({ ...outcomeUnknown(""), ran: "no" });',
  }],
  /** Tokens pass whatever their offset and attempt. */
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
  /** Leaving engines stay candidates. */
  "leaving marks": [{
    file: "daemon/src/fleet/replica.ts",
    find: "isLeaving() {",
    replace: "isLeaving() { return false;",
  }, {
    file: "daemon/src/fleet/fleet.ts",
    find: 'return replica.report()?.state ?? "ready";',
    replace: 'return "ready";',
  }],
  /** A stop ends the process at once. */
  "graceful shutdown": [{
    file: "daemon/src/run.ts",
    find: "await daemon.value.stop(await signalled);",
    replace: "await signalled; process.exit(0);",
  }],
  /** Daemons learn no version from heartbeats and do not poll. */
  "configuration propagation": [{
    file: "daemon/src/daemon.ts",
    find: "configuration.announce(version, address),",
    replace: "void [version, address],",
  }, {
    file: "daemon/src/daemon.ts",
    find: "const READERS = 2;",
    replace: "const READERS = 0;",
  }],
  /** A start during an outage learns nothing from peers. */
  "start from peers": [{
    file: "daemon/src/daemon.ts",
    find: "configuration.announce(version, address),",
    replace: "void [version, address],",
  }, {
    file: "configuration/src/watch.ts",
    find: "await Promise.all(options.peers().map(fetchFrom));",
    replace: "",
  }],
} satisfies Readonly<Record<string, readonly Removal[]>>;

/** The stand-in of the platform leaves these out, not the daemons. */
export const TRANSACTION_CHECKS = "transaction checks";

export type Mechanism = keyof typeof REMOVALS | typeof TRANSACTION_CHECKS;

export function isMechanism(name: string): name is Mechanism {
  return name in REMOVALS || name === TRANSACTION_CHECKS;
}

/** Bundles the product and returns the path of the program. */
export async function buildProduct(without?: Mechanism): Promise<string> {
  const folder = mkdtempSync(join(tmpdir(), "peridotvalve-build-"));
  const program = join(folder, "peridotvalve.cjs");
  const removals: readonly Removal[] =
    without === undefined || without === TRANSACTION_CHECKS
      ? []
      : REMOVALS[without];
  await build({
    entryPoints: [ENTRY],
    outfile: program,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    external: EXTERNAL,
    define: { PERIDOTVALVE_VERSION: JSON.stringify("history") },
    banner: { js: `#!${process.execPath}` },
    plugins: [createRemovalPlugin(removals)],
    logLevel: "warning",
  });
  chmodSync(program, EXECUTABLE);
  return program;
}

function createRemovalPlugin(removals: readonly Removal[]): Plugin {
  return {
    name: "removal",
    setup(build) {
      build.onLoad({ filter: /\/packages\/[^/]+\/src\/.*\.ts$/ }, (args) => {
        const own = removals.filter(({ file }) => args.path.endsWith(file));
        if (own.length === 0) return undefined;
        const text = readFileSync(args.path, "utf8");
        return { loader: "ts", contents: own.reduce(remove, text) };
      });
    },
  };
}

function remove(text: string, { file, find, replace }: Removal): string {
  if (text.split(find).length !== 2) {
    throw new Error(`${file} does not have ${JSON.stringify(find)} once`);
  }
  return text.replace(find, () => replace);
}
