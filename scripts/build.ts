/**
 * Builds the single executable dist/peridotvalve: a CommonJS bundle injected
 * into a copy of the Node.js executable that runs this script.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { findBinary } from "@peridotvalve/testbed";
import { build, type Plugin } from "esbuild";
import { inject } from "postject";

const ENTRY = "packages/cli/src/main.ts";
const BUNDLE = "dist/peridotvalve.cjs";
const SEA_SETTINGS = "dist/sea.json";
const BLOB = "dist/peridotvalve.blob";
const BINARY = "dist/peridotvalve";
const PARTIAL_BINARY = "dist/peridotvalve.unfinished";

const EXECUTABLE_MODE = 0o755;
const BYTES_PER_MEGABYTE = 1_000_000;

// Names under which Node.js looks up the blob of a single executable.
const BLOB_RESOURCE = "NODE_SEA_BLOB";
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const UNLESS_CURRENT = "--unless-current";

/**
 * Replaces optional dependencies of libraries that are not installed, such as
 * `encoding` of node-fetch, by a module that throws the error of Node.js for a
 * missing module. The `require` of a single executable resolves only built-in
 * modules and prints a warning for any other name.
 */
const MISSING_MODULES: Plugin = {
  name: "missing-modules",
  setup(build) {
    const namespace = "missing";
    build.onResolve({ filter: /^[^./]/ }, async (args) => {
      const { path, pluginData, importer, kind, resolveDir } = args;
      const isFirstParty = !importer.includes("node_modules");
      if (pluginData === namespace || isFirstParty) return undefined;
      const found = await build.resolve(path, {
        importer,
        kind,
        resolveDir,
        pluginData: namespace,
      });
      return found.errors.length === 0 ? found : { path, namespace };
    });
    build.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `throw Object.assign(
        new Error("Cannot find module '${path}'"),
        { code: "MODULE_NOT_FOUND" },
      );`,
    }));
  },
};

function readVersion(): string {
  const text = readFileSync("packages/cli/package.json", "utf8");
  return JSON.parse(text).version;
}

async function bundle(): Promise<void> {
  await build({
    entryPoints: [ENTRY],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    plugins: [MISSING_MODULES],
    define: { PERIDOTVALVE_VERSION: JSON.stringify(readVersion()) },
    logLevel: "warning",
  });
}

function writeBlob(): void {
  const settings = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  };
  writeFileSync(SEA_SETTINGS, JSON.stringify(settings));
  execFileSync(process.execPath, ["--experimental-sea-config", SEA_SETTINGS]);
}

async function writeBinary(): Promise<void> {
  // Renames the complete file, so that no process runs a partial binary.
  copyFileSync(process.execPath, PARTIAL_BINARY);
  chmodSync(PARTIAL_BINARY, EXECUTABLE_MODE);
  const blob = readFileSync(BLOB);
  await inject(PARTIAL_BINARY, BLOB_RESOURCE, blob, {
    sentinelFuse: SENTINEL_FUSE,
  });
  renameSync(PARTIAL_BINARY, BINARY);
}

async function main(): Promise<void> {
  if (process.argv.includes(UNLESS_CURRENT) && findBinary() !== undefined) {
    console.log(`${BINARY} is newer than its sources`);
    return;
  }
  mkdirSync("dist", { recursive: true });
  await bundle();
  writeBlob();
  await writeBinary();
  const megabytes = Math.round(statSync(BINARY).size / BYTES_PER_MEGABYTE);
  console.log(`${BINARY}: version ${readVersion()}, ${megabytes} MB`);
}

await main();
