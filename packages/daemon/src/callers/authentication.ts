/**
 * Finds the customer behind an API key. The configuration holds only hashes.
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

// One index for each configuration in force; it goes with its configuration.
const indexes = new WeakMap<Configuration, ReadonlyMap<string, Identity>>();

export function authenticate(
  exchange: Exchange,
  configuration: Configuration,
): Result<Identity, Failure> {
  const header = readHeader(exchange, "authorization") ?? "";
  const key = /^Bearer +(\S+)$/i.exec(header)?.[1];
  const identity = key === undefined
    ? undefined
    : indexOf(configuration).get(hashKey(key));
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

/** SHA-256 of an API key in hex, as the configuration holds it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function indexOf(configuration: Configuration): ReadonlyMap<string, Identity> {
  const known = indexes.get(configuration);
  if (known !== undefined) return known;
  const index = new Map<string, Identity>();
  for (const [name, customer] of Object.entries(configuration.customers)) {
    for (const hash of customer.keyHashes) index.set(hash, { name, customer });
  }
  indexes.set(configuration, index);
  return index;
}
