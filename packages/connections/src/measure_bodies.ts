/**
 * Measures the processor time in which a server reads one body, by length, size
 * of the pieces and framing: of this reader, of a plain one that keeps the pieces
 * in an array and joins them at the end, and of a reader in another folder if one
 * is given. Each variant is a process of its own; they take turns, so that other
 * load on the machine meets all alike. Prints the medians of the rounds, and the
 * medians of the ratios to the plain reader.
 *
 * Run: `node --import tsx packages/connections/src/measure_bodies.ts [folder]`.
 * `BUDGET` is the memory budget in bytes, `ONLY` selects rows by a part of
 * their name.
 */
import { createSystemClock } from "@peridotvalve/clock";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type IncomingMessage } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

type Reader = (request: IncomingMessage) => Promise<() => void>;

/** What a server reports when it is asked. */
interface Report {
  readonly port: number;
  readonly microseconds: number;
  readonly pieces: number;
}

interface Shape {
  readonly length: number;
  readonly piece: number;
  readonly isChunked: boolean;
}

const ROUNDS = Number(process.env["ROUNDS"] ?? 9);
const BUDGET = Number(process.env["BUDGET"] ?? 78e6);
const ONLY = (process.env["ONLY"] ?? "").split(";");
const CONNECTIONS = 4;
const MAX_BODY = 8_388_608;

/** Bytes and pieces of one measurement, of which one has at least one body. */
const BYTES = 60e6;
const PIECES = 60_000;

const LENGTHS = [20_000, 90_000, 1_000_000, 4_000_000];
const PIECE_SIZES = [65_536, 16_384, 1_460, 1];

/** Longest body that is sent by the byte. */
const MAX_BY_THE_BYTE = 20_000;

const shapes: readonly Shape[] = [false, true].flatMap((isChunked) =>
  LENGTHS.flatMap((length) =>
    PIECE_SIZES.filter((piece) => piece > 1 || length <= MAX_BY_THE_BYTE)
      .map((piece) => ({ length, piece, isChunked }))
  )
);

function nameOf({ length, piece, isChunked }: Shape): string {
  return `${length} by ${piece}, ${isChunked ? "chunked" : "length"}`;
}

/** Keeps the pieces and joins them at the end. */
function readPlainly(request: IncomingMessage): Promise<() => void> {
  return new Promise((resolve, reject) => {
    const pieces: Uint8Array[] = [];
    request.on("data", (piece: Uint8Array) => pieces.push(piece));
    request.on("error", reject);
    request.on("end", () => {
      const body = pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
      resolve(() => body);
    });
  });
}

async function createReader(file: string): Promise<Reader> {
  const { createBodyReader, createMemoryBudget, createReadTurns } =
    await import(file) as typeof import("./mod.ts");
  const clock = createSystemClock();
  const memory = createMemoryBudget({ clock, limit: BUDGET });
  const reader = createBodyReader({
    ...{ clock, memory, turns: createReadTurns() },
    ...{ stallLimit: () => 10_000 },
  });
  return async (request) => {
    const received = await reader.read(request, MAX_BODY);
    if (received.kind !== "complete") throw new Error(received.kind);
    return received.body.release;
  };
}

/** Serves bodies, and answers each message with a report. */
async function serve(file: string, isPlain: boolean): Promise<void> {
  // Collections take longer with more modules, so the plain server loads them too.
  const reader = await createReader(file);
  const read = isPlain ? readPlainly : reader;
  let pieces = 0;
  const server = createServer((request, response) => {
    // With another listener, the reader takes tiny pieces as any others.
    if (isPlain) request.on("data", () => pieces += 1);
    read(request).then((release) => {
      response.end("x");
      release();
    }, (error) => {
      response.statusCode = 503;
      response.end(String(error));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  process.on("message", (kind) => {
    // Garbage of a measurement belongs to it.
    if (kind === "collect") globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const { port } = server.address() as AddressInfo;
    process.send?.({ port, microseconds: user + system, pieces });
  });
  process.on("disconnect", () => process.exit());
  process.send?.("ready");
}

async function askReport(server: ChildProcess, kind: string): Promise<Report> {
  const reported = once(server, "message");
  server.send(kind);
  return (await reported)[0] as Report;
}

/** Bundles a module as the daemon is bundled. */
async function bundle(entry: string, outfile: string): Promise<void> {
  // Servers run a bundle of this module, from where they cannot import it.
  const { build } = await import("esbuild");
  await build({
    ...{ entryPoints: [entry], outfile },
    ...{ bundle: true, platform: "node", format: "esm", target: "node20" },
    // Modules in CommonJS call `require`.
    banner: {
      js: `import { createRequire } from "node:module";
        const require = createRequire(import.meta.url);`,
    },
    external: ["esbuild"],
  });
}

async function startServer(
  program: string,
  args: readonly string[],
): Promise<ChildProcess> {
  const server = fork(program, ["--serve", ...args], {
    execArgv: ["--expose-gc", ...(process.env["PROFILE"]?.split(" ") ?? [])],
  });
  await once(server, "message");
  return server;
}

/** Bundles the variants and starts their servers, the plain one first. */
async function startServers(
  folders: readonly string[],
): Promise<readonly ChildProcess[]> {
  const target = mkdtempSync(join(tmpdir(), "peridotvalve-bodies-"));
  process.on("exit", () => rmSync(target, { recursive: true, force: true }));
  const program = join(target, "measure.mjs");
  await bundle(fileURLToPath(import.meta.url), program);
  const files = folders.map((_, index) => join(target, `${index}.mjs`));
  for (const [index, folder] of folders.entries()) {
    await bundle(join(folder, "mod.ts"), files[index] ?? "");
  }
  return Promise.all([
    startServer(program, [files.at(-1) ?? "", "plain"]),
    ...files.map((file) => startServer(program, [file])),
  ]);
}

/** Sends one body and waits for its response. */
async function sendBody(
  socket: Socket,
  { length, piece, isChunked }: Shape,
  body: Buffer,
): Promise<void> {
  const answered = once(socket, "data");
  const framing = isChunked
    ? "Transfer-Encoding: chunked"
    : `Content-Length: ${length}`;
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`);
  if (isChunked && piece < 1_000) {
    // One write: the framing itself sets the pieces.
    const chunk = `${piece.toString(16)}\r\n${"x".repeat(piece)}\r\n`;
    socket.write(chunk.repeat(length / piece));
  } else {
    for (let at = 0; at < length; at += piece) {
      const part = body.subarray(at, Math.min(length, at + piece));
      socket.cork();
      if (isChunked) socket.write(`${part.length.toString(16)}\r\n`);
      socket.write(part);
      if (isChunked) socket.write("\r\n");
      socket.uncork();
      // Otherwise the kernel joins the pieces.
      if (!isChunked) await new Promise((done) => setImmediate(done));
    }
  }
  if (isChunked) socket.write("0\r\n\r\n");
  const [answer] = await answered as [Buffer];
  if (!answer.toString().startsWith("HTTP/1.1 200")) {
    throw new Error(answer.toString());
  }
}

/** Returns the processor time and the pieces of one body. */
async function measure(
  server: ChildProcess,
  shape: Shape,
): Promise<{ readonly microseconds: number; readonly pieces: number }> {
  const body = Buffer.alloc(shape.length, "x");
  const most = Math.min(
    BYTES / shape.length,
    PIECES / Math.ceil(shape.length / shape.piece),
    800,
  );
  const perConnection = Math.ceil(most / CONNECTIONS);
  const before = await askReport(server, "collect");
  await Promise.all(Array.from({ length: CONNECTIONS }, async () => {
    const socket = connect(before.port, "127.0.0.1").setNoDelay(true);
    await once(socket, "connect");
    for (let sent = 0; sent < perConnection; sent += 1) {
      await sendBody(socket, shape, body);
    }
    socket.destroy();
  }));
  const after = await askReport(server, "report");
  const bodies = perConnection * CONNECTIONS;
  return {
    microseconds: (after.microseconds - before.microseconds) / bodies,
    pieces: (after.pieces - before.pieces) / bodies,
  };
}

function medianOf(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[values.length >> 1] ?? NaN;
}

async function compare(folders: readonly string[]): Promise<void> {
  const variants = ["plain", ...folders];
  const servers = await startServers(folders);
  const chosen = shapes.filter((shape) =>
    ONLY.some((part) => nameOf(shape).includes(part))
  );
  const times = new Map(chosen.map((shape) => [
    shape,
    variants.map((): number[] => []),
  ]));
  const pieces = new Map<Shape, number>();
  for (let round = -1; round < ROUNDS; round += 1) {
    for (const [shape, ofVariants] of times) {
      for (let turn = 0; turn < variants.length; turn += 1) {
        const at = (turn + round + 1) % variants.length;
        const server = servers[at];
        if (server === undefined) continue;
        const measured = await measure(server, shape);
        // The first round warms up.
        if (round >= 0) ofVariants[at]?.push(measured.microseconds);
        if (at === 0) pieces.set(shape, measured.pieces);
      }
    }
  }
  for (const server of servers) server.disconnect();
  console.log(`budget ${BUDGET}, ${ROUNDS} rounds; plain: us per body`);
  console.log(["body", "pieces", "plain", ...folders].join(" | "));
  for (const [shape, [plain = [], ...others]] of times) {
    const ratios = others.map((own) =>
      medianOf(own.map((time, round) => time / (plain[round] ?? NaN)))
        .toFixed(2)
    );
    const time = medianOf(plain).toFixed(0);
    const count = (pieces.get(shape) ?? NaN).toFixed(0);
    console.log([nameOf(shape), count, time, ...ratios].join(" | "));
  }
}

const [first, ...rest] = process.argv.slice(2);
if (first === "--serve") await serve(rest[0] ?? "", rest[1] === "plain");
else {
  const own = resolve(import.meta.dirname);
  await compare(first === undefined ? [own] : [resolve(first), own]);
}
