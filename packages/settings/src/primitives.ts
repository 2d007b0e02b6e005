/**
 * Value schemas shared by several settings.
 */
import { isIPv4, isIPv6 } from "node:net";
import { z } from "zod";

const MAX_PORT = 65_535;
const ADDRESS = /^(?:\[([^\]]+)\]|([^:[\]]+)):([0-9]{1,5})$/;
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

// Names are used in paths, platform rows and metric labels.
const MAX_NAME_LENGTH = 128;

/**
 * True for an IP address and a port above 0, such as "127.0.0.1:8080" and
 * "[::1]:8080".
 */
export function isAddress(text: string): boolean {
  const match = ADDRESS.exec(text);
  if (match === null) return false;
  const [, ipv6, ipv4, port] = match;
  const host = ipv6 === undefined ? isIPv4(ipv4 ?? "") : isIPv6(ipv6);
  return host && Number(port) > 0 && Number(port) <= MAX_PORT;
}

export const address = z.string().refine(isAddress, {
  error: 'must be an IP address and a port, such as "127.0.0.1:8080"',
}).meta({ title: "address" });

export const name = z.string().max(MAX_NAME_LENGTH).regex(NAME, {
  error:
    "must start with a letter or digit and contain only letters, digits, " +
    '".", "_" and "-"',
}).meta({ title: "name" });

export const positiveNumber = z.number().positive()
  .meta({ title: "number above 0" });
export const positiveInteger = z.int().min(1).meta({
  title: "whole number from 1",
});
export const nonNegativeInteger = z.int().min(0)
  .meta({ title: "whole number from 0" });
export const fraction = z.number().min(0).max(1)
  .meta({ title: "number from 0 to 1" });
export const percent = z.number().min(0).max(100)
  .meta({ title: "number from 0 to 100" });
export const milliseconds = z.int().min(1)
  .meta({ title: "whole number from 1" });

/** Schema of a map whose keys are names. */
export function mapOf<Value extends z.ZodType>(value: Value) {
  return z.record(name, value);
}
