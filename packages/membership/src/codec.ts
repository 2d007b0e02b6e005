/**
 * The datagram format: 16 bytes of HMAC-SHA256, followed by a JSON-RPC 2.0
 * notification. Parameters are positional, because their names would take a
 * third of the bytes of an idle heartbeat.
 *
 * The zone is part of the signed text but not of the datagram, so the signature
 * of a heartbeat is invalid in any other zone.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Bytes } from "@peridotvalve/types";
import { createJSONRPCNotification, isJSONRPCRequest } from "json-rpc-2.0";
import { Err, Ok, Result } from "ts-results-es";
import { z } from "zod";
import {
  type Aggregate,
  type Datagram,
  type Heartbeat,
  MAX_DATAGRAM,
  type Rejection,
} from "./datagram.ts";
import { INCARNATION_PATTERN } from "./incarnation.ts";

const SIGNATURE_BYTES = 16;
const INTERVAL_UNIT_MILLISECONDS = 100;

const headerParams = [
  z.string().min(1).max(64),
  z.string().regex(INCARNATION_PATTERN),
  z.number().int().nonnegative(),
  z.number().int().nonnegative(),
  z.string().max(24),
] as const;

const flag = z.union([z.literal(0), z.literal(1)]);
const heartbeatParams = z.tuple([
  ...headerParams,
  z.number().int().positive().max(600),
  flag,
  z.unknown(),
  z.union([z.literal(0), z.array(z.string().max(64)).max(64)]),
  z.union([z.literal(0), z.tuple([z.string(), z.string()])]),
]);
const aggregateParams = z.tuple([
  ...headerParams,
  z.string().min(1).max(64),
  z.unknown(),
]);

export interface Codec {
  /** Signs the datagram; fails above `MAX_DATAGRAM` bytes. */
  encode(datagram: Datagram): Result<Uint8Array, "too long">;
  /** Verifies and parses a datagram. */
  decode(bytes: Uint8Array): Result<Datagram, Rejection>;
  /** Length of the encoded datagram; does not compute its signature. */
  measure(datagram: Datagram): Bytes;
}

export interface CodecOptions {
  readonly zone: string;
  readonly secret?: string;
  /** True when daemons of several zones exchange heartbeats. */
  readonly hasNeighborZones?: boolean;
}

export function createCodec(options: CodecOptions): Codec {
  const { zone, secret = "" } = options;
  const heartbeatScope = options.hasNeighborZones === true
    ? "heartbeats of several zones"
    : `zone ${zone}`;

  function sign(body: Uint8Array, scope: string): Uint8Array {
    const hmac = createHmac("sha256", secret);
    const digest = hmac.update(`${scope}\0`).update(body).digest();
    return digest.subarray(0, SIGNATURE_BYTES);
  }

  function isSigned(bytes: Uint8Array, scope: string): boolean {
    const expected = sign(bytes.subarray(SIGNATURE_BYTES), scope);
    return timingSafeEqual(bytes.subarray(0, SIGNATURE_BYTES), expected);
  }

  return {
    encode(datagram) {
      const body = encodeBody(datagram);
      const scope = datagram.kind === "heartbeat" ? heartbeatScope : "all";
      const bytes = Buffer.concat([sign(body, scope), body]);
      return bytes.length > MAX_DATAGRAM ? Err("too long") : Ok(bytes);
    },

    decode(bytes) {
      if (bytes.length > MAX_DATAGRAM) return Err("too long");
      if (bytes.length <= SIGNATURE_BYTES) return Err("too short");
      const kind = isSigned(bytes, heartbeatScope)
        ? "heartbeat"
        : isSigned(bytes, "all")
        ? "aggregate"
        : undefined;
      if (kind === undefined) return Err("bad signature");
      const datagram = decodeBody(bytes.subarray(SIGNATURE_BYTES));
      return datagram?.kind === kind ? Ok(datagram) : Err("malformed");
    },

    measure(datagram) {
      return SIGNATURE_BYTES + encodeBody(datagram).length;
    },
  };
}

function encodeBody(datagram: Datagram): Buffer {
  const params = datagram.kind === "heartbeat"
    ? heartbeatToParams(datagram)
    : aggregateToParams(datagram);
  const notification = createJSONRPCNotification(datagram.kind, params);
  return Buffer.from(JSON.stringify(notification));
}

function headerToParams(datagram: Datagram): readonly unknown[] {
  const { name, incarnation, sequence, version, clock } = datagram;
  return [name, incarnation, sequence, version, clock];
}

function heartbeatToParams(heartbeat: Heartbeat): readonly unknown[] {
  return [
    ...headerToParams(heartbeat),
    Math.ceil(heartbeat.interval / INTERVAL_UNIT_MILLISECONDS),
    heartbeat.draining ? 1 : 0,
    heartbeat.digest ?? 0,
    heartbeat.leaving ?? 0,
    heartbeat.knownIncarnation ?? 0,
  ];
}

function aggregateToParams(aggregate: Aggregate): readonly unknown[] {
  const { zone, content } = aggregate;
  return [...headerToParams(aggregate), zone, content];
}

function decodeBody(body: Uint8Array): Datagram | undefined {
  const text = Buffer.from(body).toString("utf8");
  const parsed = Result.wrap(() => JSON.parse(text) as unknown);
  if (parsed.isErr() || parsed.value === null) return undefined;
  if (!isJSONRPCRequest(parsed.value)) return undefined;
  const { method, params, id } = parsed.value;
  if (id !== undefined) return undefined;
  if (method === "heartbeat") return paramsToHeartbeat(params);
  if (method === "aggregate") return paramsToAggregate(params);
  return undefined;
}

function paramsToHeartbeat(params: unknown): Heartbeat | undefined {
  const parsed = heartbeatParams.safeParse(params);
  if (!parsed.success) return undefined;
  const [name, incarnation, sequence, version, clock, ...rest] = parsed.data;
  const [interval, draining, digest, leaving, known] = rest;
  return {
    kind: "heartbeat",
    ...{ name, incarnation, sequence, version, clock },
    interval: interval * INTERVAL_UNIT_MILLISECONDS,
    draining: draining === 1,
    ...(digest !== 0 && { digest }),
    ...(leaving !== 0 && { leaving }),
    ...(known !== 0 && { knownIncarnation: known }),
  };
}

function paramsToAggregate(params: unknown): Aggregate | undefined {
  const parsed = aggregateParams.safeParse(params);
  if (!parsed.success) return undefined;
  const [name, incarnation, sequence, version, clock, zone, content] =
    parsed.data;
  return {
    kind: "aggregate",
    ...{ name, incarnation, sequence, version, clock, zone, content },
  };
}
