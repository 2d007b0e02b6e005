/**
 * Addresses of processes, as rows of tables name them.
 */
import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;

/** Returns true for an IPv4 address and a port, such as `10.1.0.40:8005`. */
export function isEndpoint(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const port = text.slice(separator + 1);
  return separator > 0 && isIPv4(text.slice(0, separator)) &&
    /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
}
