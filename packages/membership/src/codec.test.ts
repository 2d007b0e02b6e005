import { expect } from "earl";
import fc from "fast-check";
import { createHmac } from "node:crypto";
import { test } from "node:test";
import { createCodec } from "./codec.ts";
import { type Aggregate, type Heartbeat, MAX_DATAGRAM } from "./datagram.ts";

const codec = createCodec({ zone: "espoo", secret: "s" });
const heartbeat: Heartbeat = {
  kind: "heartbeat",
  name: "entry-1",
  incarnation: "kz1.00ff",
  sequence: 7,
  version: 3,
  clock: "kz1.0",
  interval: 1_000,
  draining: false,
  digest: { c: { r1: [1, 200] } },
  leaving: ["u-1"],
  knownIncarnation: ["entry-2", "kz0.0000"],
};
const aggregate: Aggregate = {
  ...{ kind: "aggregate", name: "entry-1", incarnation: "kz1.00ff" },
  ...{ sequence: 1, version: 3, clock: "kz1.0" },
  ...{ zone: "vaasa", content: { g: [1] } },
};

/** Signs an arbitrary body as a heartbeat of the zone. */
function forge(body: string): Uint8Array {
  const signature = createHmac("sha256", "s").update("zone espoo\0")
    .update(body).digest().subarray(0, 16);
  return Buffer.concat([signature, Buffer.from(body)]);
}

test("datagrams decode to their input, and measure gives their length", () => {
  for (const datagram of [heartbeat, aggregate]) {
    const bytes = codec.encode(datagram).unwrap();
    expect(codec.decode(bytes).unwrap()).toEqual(datagram);
    expect(codec.measure(datagram)).toEqual(bytes.length);
  }
});

test("a datagram with any byte changed is refused", () => {
  const bytes = codec.encode(heartbeat).unwrap();
  fc.assert(fc.property(
    fc.nat(bytes.length - 1),
    fc.integer({ min: 1, max: 255 }),
    (index, change) => {
      const forged = Uint8Array.from(bytes);
      forged[index] = (forged[index] ?? 0) ^ change;
      return codec.decode(forged).isErr();
    },
  ));
});

test("another secret or another zone is refused", () => {
  const bytes = codec.encode(heartbeat).unwrap();
  for (
    const other of [{ zone: "vantaa", secret: "s" }, {
      zone: "espoo",
      secret: "t",
    }]
  ) {
    const decoded = createCodec(other).decode(bytes);
    expect(decoded.isErr() && decoded.error).toEqual("bad signature");
  }
  const elsewhere = createCodec({ zone: "vantaa", secret: "s" });
  const sent = codec.encode(aggregate).unwrap();
  expect(elsewhere.decode(sent).isOk()).toEqual(true);
});

test("a signed malformed body is rejected without throwing", () => {
  const bodies = [
    ...["", "null", "7", "[]", "{", '{"jsonrpc":"2.0"}'],
    '{"jsonrpc":"2.0","method":"heartbeat","id":1,"params":[]}',
    '{"jsonrpc":"2.0","method":"heartbeat","params":[1,2]}',
    '{"jsonrpc":"2.0","method":"heartbeat","params":{"name":"x"}}',
    '{"jsonrpc":"2.0","method":"constructor","params":[]}',
  ];
  for (const body of bodies) {
    expect(codec.decode(forge(body)).isErr()).toEqual(true);
  }
  fc.assert(fc.property(
    fc.json(),
    (params) =>
      codec.decode(
        forge(`{"jsonrpc":"2.0","method":"heartbeat","params":${params}}`),
      ).isErr(),
  ));
});

test("a datagram over 1,200 bytes is neither encoded nor decoded", () => {
  const digest = "x".repeat(MAX_DATAGRAM);
  expect(codec.encode({ ...heartbeat, digest }).isErr()).toEqual(true);
  const decoded = codec.decode(new Uint8Array(MAX_DATAGRAM + 1));
  expect(decoded.isErr() && decoded.error).toEqual("too long");
});
