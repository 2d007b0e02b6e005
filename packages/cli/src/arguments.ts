/**
 * Arguments shared by several commands.
 */
import { readFile } from "node:fs/promises";
import { isAddress } from "@peridotvalve/settings";
import { extendType, flag, number, option, optional, string } from "cmd-ts";
import {
  type ClientOptions,
  createOperatorsClient,
} from "./operators_client.ts";
import type { OperatorsClient } from "./operators_client.ts";

const DEFAULT_DEADLINE_MS = 5_000;
const MAX_DEADLINE_MS = 600_000;

/** An argument of the form "IP:PORT". */
export const addressType = extendType(string, {
  displayName: "address",
  from: (text) => {
    if (isAddress(text)) return Promise.resolve(text);
    throw new Error(`"${text}" is not an IP address and port`);
  },
});

/** An argument that is a whole number from 0. */
export const nonNegativeIntegerType = extendType(number, {
  displayName: "number",
  from: (value) => {
    if (Number.isSafeInteger(value) && value >= 0) {
      return Promise.resolve(value);
    }
    throw new Error("must be a whole number from 0");
  },
});

const tokenType = extendType(string, {
  displayName: "file",
  from: async (file) => {
    const token = (await readFile(file, "utf8")).trim();
    if (token === "") throw new Error(`${file} is empty`);
    return token;
  },
});

const deadlineType = extendType(nonNegativeIntegerType, {
  displayName: "ms",
  from: (value) => {
    if (value > 0 && value <= MAX_DEADLINE_MS) return Promise.resolve(value);
    throw new Error(`must be from 1 to ${MAX_DEADLINE_MS} ms`);
  },
});

export const json = flag({
  long: "json",
  description: "print JSON for scripts",
});

export const operators = option({
  long: "operators",
  type: addressType,
  description: "operators' listener of a daemon",
});

export const optionalOperators = option({
  long: "operators",
  type: optional(addressType),
  description: "operators' listener of a daemon, for version numbers",
});

export const token = option({
  long: "token-file",
  type: tokenType,
  description: "file with the operators' token",
});

export const optionalToken = option({
  long: "token-file",
  type: optional(tokenType),
  description: "file with the operators' token",
});

export const deadline = option({
  long: "deadline",
  type: deadlineType,
  defaultValue: () => DEFAULT_DEADLINE_MS,
  defaultValueIsSerializable: true,
  description: "limit of each call, milliseconds",
});

/** Runs `work` with a client and closes the client afterwards. */
export async function withClient<Value>(
  options: ClientOptions,
  work: (client: OperatorsClient) => Promise<Value>,
): Promise<Value> {
  const client = createOperatorsClient(options);
  try {
    return await work(client);
  } finally {
    await client.close();
  }
}
