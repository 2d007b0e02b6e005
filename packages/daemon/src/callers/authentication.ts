/**
 * Authenticates callers by API key. The configuration stores only the SHA-256
 * hashes of the keys.
 */
import { createHash } from "node:crypto";
import type { Failure } from "@peridotvalve/errors";
import type { Configuration, Customer } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { type Exchange, readHeader } from "../http/exchange.ts";

export interface Identity {
  readonly name: string;
  readonly customer: Customer;
}

// Customers by key hash. The index of a replaced configuration is collected
// together with that configuration.
const keyIndexes = new WeakMap<Configuration, ReadonlyMap<string, Identity>>();

/**
 * Finds the customer whose API key is in the `Authorization` header. Fails with
 * `invalid_api_key` for a missing or unknown key, and with `forbidden` for a
 * disabled customer.
 */
export function authenticate(
  exchange: Exchange,
  configuration: Configuration,
): Result<Identity, Failure> {
  const header = readHeader(exchange, "authorization") ?? "";
  const key = /^Bearer +(\S+)$/i.exec(header)?.[1];
  const identity = key === undefined
    ? undefined
    : getKeyIndex(configuration).get(hashKey(key));
  if (identity === undefined) {
    return Err({
      code: "invalid_api_key",
      ran: "no",
      message: "the API key is missing or unknown",
    });
  }
  if (identity.customer.disabled) {
    return Err({
      code: "forbidden",
      ran: "no",
      message: "this customer is disabled",
    });
  }
  return Ok(identity);
}

/** The SHA-256 hash of an API key, in hexadecimal as in the configuration. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function getKeyIndex(
  configuration: Configuration,
): ReadonlyMap<string, Identity> {
  const cached = keyIndexes.get(configuration);
  if (cached !== undefined) return cached;
  const index = new Map<string, Identity>();
  for (const [name, customer] of Object.entries(configuration.customers)) {
    for (const hash of customer.keyHashes) index.set(hash, { name, customer });
  }
  keyIndexes.set(configuration, index);
  return index;
}
