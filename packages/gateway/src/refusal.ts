/** Finds out whether a process listens at an address. */
import type { Milliseconds } from "@peridotvalve/types";
import { connect } from "node:net";

/** A host that sends no refusal within this time tells nothing. */
const TIMEOUT: Milliseconds = 1_000;

/**
 * Resolves to true when the host at `HOST:PORT` refuses a connection, and to
 * false when it accepts one or does not answer. Never rejects.
 */
export function refusesConnections(address: string): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port || 80) });
    const settle = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(TIMEOUT, () => settle(false));
    socket.once("connect", () => settle(false));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) => settle(code === "ECONNREFUSED"),
    );
  });
}
