import { connect, createServer, type Server } from "node:net";
import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ask, keyOf } from "./testing.ts";

const DAEMON = "espoo-1";
const MODEL = "shop-app";
const BODY_LIMIT_BYTES = 20_000;
const TIMEOUT_MILLISECONDS = 1_000;

/** Time in which an order reaches its service. */
const ORDER_MILLISECONDS = 500;

let deployment: Deployment;

/**
 * Adds a catch-all idempotent rule to the bookings service after the rule for
 * orders, so that an order whose path is misparsed would match it.
 */
function edit(text: string, file: string): string {
  if (file.endsWith("40-services.yaml")) {
    return text.replace(
      "      - prefix: /returns\n",
      "      - { prefix: /quotes, methods: [POST], idempotent: true }\n" +
        "      - prefix: /returns\n",
    ).replace(
      "  stock:\n",
      "      - { prefix: /, methods: [POST], idempotent: true }\n  stock:\n",
    );
  }
  return text.replace(/balancerDelay: \d+/, "balancerDelay: 200")
    .replace(/requestBytes: \d+/, `requestBytes: ${BODY_LIMIT_BYTES}`)
    .replace(/headersTimeout: \d+/, `headersTimeout: ${TIMEOUT_MILLISECONDS}`)
    .replace(/bodyTimeout: \d+/, `bodyTimeout: ${TIMEOUT_MILLISECONDS}`);
}

interface Answer {
  readonly status: number;
  readonly code: string | undefined;
  readonly ran: string | undefined;
}

/** Sends raw bytes and reads until a complete response or the end. */
function sendRaw(bytes: string, endsInput = false): Promise<Answer> {
  const [ip = "", port] = deployment.addressOf(DAEMON).split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), ip);
    let text = "";
    const finish = () => {
      socket.destroy();
      resolve(parseAnswer(text));
    };
    socket.setTimeout(12_000, finish);
    socket.on("error", finish).on("close", finish);
    socket.on("data", (chunk) => {
      text += chunk.toString("utf8");
      if (isWhole(text)) finish();
    });
    socket.write(bytes);
    if (endsInput) socket.end();
  });
}

function isWhole(text: string): boolean {
  const [head = "", body] = text.split("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return body !== undefined && length !== undefined &&
    Buffer.byteLength(body) >= Number(length);
}

function parseAnswer(text: string): Answer {
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  try {
    const { error } = JSON.parse(body) as { error?: Answer };
    return { status, code: error?.code, ran: error?.ran };
  } catch {
    return { status, code: undefined, ran: undefined };
  }
}

interface RawRequest {
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly key?: string;
  readonly headers?: readonly string[];
}

function compose(request: RawRequest): string {
  const { method = "POST", path = "/v1/chat/completions" } = request;
  const { body = "", headers = [], key = keyOf(deployment, "coat-club") } =
    request;
  const hasLength = headers.some((one) => one.startsWith("content-length"));
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "host: daemon",
    `authorization: Bearer ${key}`,
    ...headers,
    ...(hasLength ? [] : [`content-length: ${Buffer.byteLength(body)}`]),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

function chat(change: Readonly<Record<string, unknown>>): string {
  const messages = [{ role: "user", content: "x [[tokens=1]]" }];
  return compose({
    body: JSON.stringify({ model: MODEL, messages, ...change }),
  });
}

function order(path: string): string {
  return compose({ path: `/services/${path}`, body: "{}" });
}

interface Case {
  readonly name: string;
  readonly bytes: () => string;
  readonly status: number;
  readonly code: string;
  /** The caller half-closes the connection after the bytes. */
  readonly endsInput?: true;
}

const INVALID = { status: 400, code: "invalid_request" } as const;
const TOO_LARGE = { status: 413, code: "request_too_large" } as const;
const TIMED_OUT = { status: 408, code: "request_timeout" } as const;
const NO_KEY = { status: 400, code: "idempotency_key_required" } as const;
const NO_SERVICE = { status: 404, code: "service_not_found" } as const;
const NOT_FOUND = { status: 404, code: "not_found" } as const;
const NO_CUSTOMER = { status: 401, code: "invalid_api_key" } as const;

const CASES: readonly Case[] = [
  {
    name: "an announced body that is too large",
    bytes: () => compose({ headers: ["content-length: 99999999"] }),
    ...TOO_LARGE,
  },
  {
    name: "a chunked body that is too large",
    bytes: () =>
      compose({ headers: ["transfer-encoding: chunked", "x: content-length"] })
        .replace("content-length: 0\r\n", "") +
      `${(30_000).toString(16)}\r\n${"x".repeat(30_000)}\r\n0\r\n\r\n`,
    ...TOO_LARGE,
  },
  { name: "malformed JSON", bytes: () => compose({ body: "{" }), ...INVALID },
  { name: "no body", bytes: () => compose({}), ...INVALID },
  { name: "a number as model", bytes: () => chat({ model: 7 }), ...INVALID },
  { name: "no messages", bytes: () => chat({ messages: [] }), ...INVALID },
  {
    name: "messages of a wrong type",
    bytes: () => chat({ messages: "hello" }),
    ...INVALID,
  },
  {
    name: "negative max_tokens",
    bytes: () => chat({ max_tokens: -1 }),
    ...INVALID,
  },
  { name: "two choices", bytes: () => chat({ n: 2 }), ...INVALID },
  {
    name: "a truncated body",
    bytes: () => compose({ body: "{", headers: ["content-length: 50"] }),
    endsInput: true,
    ...INVALID,
  },
  {
    name: "a slow body",
    bytes: () => compose({ body: "{", headers: ["content-length: 50"] }),
    ...TIMED_OUT,
  },
  {
    name: "slow headers",
    bytes: () => "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n",
    ...TIMED_OUT,
  },
  {
    name: "an unknown model",
    bytes: () => chat({ model: "none" }),
    status: 404,
    code: "model_not_found",
  },
  {
    name: "an unknown path",
    bytes: () => compose({ path: "/v2" }),
    ...NOT_FOUND,
  },
  {
    name: "a wrong method",
    bytes: () => compose({ method: "DELETE" }),
    ...NOT_FOUND,
  },
  {
    name: "an unknown method",
    bytes: () => compose({ method: "BREW" }),
    ...INVALID,
  },
  { name: "an unknown service", bytes: () => order("none/x"), ...NO_SERVICE },
  {
    name: "an unknown customer",
    bytes: () => compose({ key: "none" }),
    ...NO_CUSTOMER,
  },
  {
    name: "a forged customer header without a key",
    bytes: () =>
      compose({ key: "none", headers: ["x-peridotvalve-customer: coat-club"] }),
    ...NO_CUSTOMER,
  },
  { name: "bytes that are not HTTP", bytes: () => "hello\r\n\r\n", ...INVALID },
  {
    name: "two lengths",
    bytes: () =>
      compose({ headers: ["content-length: 1", "content-length: 2"] }),
    ...INVALID,
  },
  {
    name: "huge headers",
    bytes: () => compose({ headers: [`x-long: ${"x".repeat(60_000)}`] }),
    ...INVALID,
  },
  ...[
    ...["bookings/orders", "bookings/orders/", "bookings//orders"],
    ...[
      "bookings/./orders",
      "bookings/x/../orders",
      "bookings/x/%2e%2e/orders",
    ],
    ...["bookings/%6frders", "bookings/%256frders", "bookings/%2forders"],
    ...[
      "bookings/orders?x=/quotes",
      "bookings/orders%3fx",
      "bookings/orders;x=1",
    ],
    ...[
      "bookings/ORDERS",
      "bookings/quotes/../orders",
      "bookings/%00/../orders",
    ],
    ...["bookings/quotes/%2e%2e%2forders", "bookings\\orders"],
    ...[
      "bookings/quotes/..%5corders",
      "bookings/orders%20",
      "bookings/orders#x",
    ],
  ].map((path): Case => ({
    name: `an order without a key at ${path}`,
    bytes: () => order(path),
    ...(path.startsWith("bookings\\")
      ? NO_SERVICE
      : path.startsWith("bookings//")
      ? NOT_FOUND
      : NO_KEY),
  })),
  ...["stock/../bookings/orders", "stock/%2e%2e/bookings/orders"].map((
    path,
  ): Case => ({
    name: `a path out of the service: ${path}`,
    bytes: () => order(path),
    ...INVALID,
  })),
  ...["/bookings/orders", "%62ookings/orders", "./bookings/orders"].map((
    path,
  ): Case => ({
    name: `a service spelled as ${path}`,
    bytes: () => order(path),
    ...(path.startsWith("/") ? NOT_FOUND : NO_SERVICE),
  })),
];

async function listCalls(service: string): Promise<readonly unknown[]> {
  const names = [...deployment.processes.keys()]
    .filter((name) => name.startsWith(`${service}-`));
  const answers = await Promise.all(names.map(async (name) => {
    const url = `http://${deployment.addressOf(name)}/control/calls`;
    return await (await fetch(url)).json() as { calls: readonly unknown[] };
  }));
  return answers.flatMap(({ calls }) => calls);
}

/** Kills a process and answers with the given bytes at its address. */
async function replaceProcess(
  name: string,
  answer: string,
): Promise<{ readonly server: Server; readonly calls: () => number }> {
  await deployment.processes.get(name)?.kill();
  let calls = 0;
  const server = createServer((socket) => {
    socket.on("error", () => {}).on("data", () => {
      calls += 1;
      socket.end(answer);
    });
  });
  const [ip = "", port] = deployment.addressOf(name).split(":");
  await new Promise<void>((resolve) =>
    server.listen(Number(port), ip, () => resolve())
  );
  return { server, calls: () => calls };
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    groups: [MODEL],
    daemons: [DAEMON],
    edit,
  });
});

after(async () => {
  await deployment.stop();
});

// Guards against invalid input that gets no typed outcome, runs, or crashes the
// daemon; and against path spellings that bypass the rule for a non-idempotent
// call.
test("invalid input gets a typed outcome and nothing runs", async () => {
  const answers = await Promise.all(
    CASES.map(({ bytes, endsInput: ends }) => sendRaw(bytes(), ends)),
  );
  const differing = CASES.flatMap(({ name, status, code }, index) => {
    const expected = `${status} ${code} ran no`;
    const { status: given, code: got, ran } = answers[index]!;
    const found = `${given} ${got} ran ${ran}`;
    return found === expected ? [] : [`${name}: ${found} and not ${expected}`];
  });
  expect(differing).toEqual([]);
  expect(await listCalls("bookings")).toEqual([]);
  expect(await listCalls("stock")).toEqual([]);
  const { status } = await sendRaw(chat({}));
  expect(status).toEqual(200);
});

// Guards against a caller that impersonates another customer.
test("a forged customer header does not reach the service", async () => {
  const headers = [
    "x-peridotvalve-customer: vaasa-pets",
    "idempotency-key: forged",
  ];
  const path = "/services/bookings/orders";
  const { status } = await sendRaw(compose({ path, body: "{}", headers }));
  expect(status).toEqual(201);
  const customers = (await listCalls("bookings"))
    .map((call) => (call as { customer: string }).customer);
  expect(customers).toEqual(["coat-club"]);
});

// Guards against a refusal of bytes behind an order that its caller takes for the
// answer to the order: it says that nothing ran, and the order runs.
test("bytes that are no request are no answer to an order", async () => {
  const known = (await listCalls("bookings")).length;
  const answer = await sendRaw(
    compose({
      path: "/services/bookings/orders",
      headers: ["idempotency-key: behind-an-order"],
      body: "{}",
    }) + "hello\r\n\r\n",
  );
  await sleep(ORDER_MILLISECONDS);
  const calls = (await listCalls("bookings")).length - known;
  expect([calls, answer.ran]).not.toEqual([1, "no"]);
});

// Guards against passing on output that is not the engine's answer to the
// caller's request.
test("a protocol violation of an engine gives a typed outcome", async () => {
  const engines = Object.keys(
    deployment.configuration.groups[MODEL]?.replicas ?? {},
  );
  const faults = [
    ...["garbage", "skip", "repeat", "wrong count", "no end", "no start"]
      .map((streamFault) => ({ streamFault })),
    { streamFault: "none", crossStreams: true },
    { crossStreams: false, cutStreamsAfter: 1 },
  ];
  for (const fault of faults) {
    for (const name of engines) await deployment.setFaults(name, fault);
    const question = { daemon: DAEMON, customer: "coat-club", model: MODEL };
    const text = "Broken [[tokens=6]]";
    const whole = await ask(deployment, { ...question, text });
    const stream = await ask(deployment, { ...question, text, stream: true });
    for (const reply of [whole, stream]) {
      const label = JSON.stringify(fault);
      expect([label, reply.isComplete]).toEqual([label, false]);
      expect(reply.code ?? "").toMatchRegex(/^upstream_/);
      expect(reply.ran === "unknown" || reply.ran === "yes").toEqual(true);
    }
  }
  for (const name of engines) {
    await deployment.setFaults(name, { cutStreamsAfter: null });
  }
});

// Guards against a second run of an order after an invalid response, and
// against passing on a truncated response as a complete one.
for (
  const [name, answer] of [
    ["no HTTP", "hello\r\n\r\n"],
    ["cut", "HTTP/1.1 201 Created\r\ncontent-length: 100\r\n\r\n{"],
    ["no answer", ""],
  ] as const
) {
  test(`a service that answers with "${name}" gives a typed outcome`, async () => {
    const taken = await Promise.all(
      ["bookings-1", "bookings-2"].map((one) => replaceProcess(one, answer)),
    );
    const headers = [`idempotency-key: broken ${name}`];
    const path = "/services/bookings/orders";
    const ordered = await sendRaw(compose({ path, body: "{}", headers }));
    const { code, ran } = ordered;
    expect([code, ran]).toEqual(["outcome_unknown", "unknown"]);
    expect(taken.reduce((sum, one) => sum + one.calls(), 0)).toEqual(1);
    const quoted = await sendRaw(
      compose({ path: "/services/bookings/quotes", body: "{}" }),
    );
    expect(quoted.code ?? "").toMatchRegex(/^upstream_/);
    expect(quoted.ran).toEqual("unknown");
    for (const { server } of taken) server.close();
  });
}
