/**
 * Passes an exchange to the legacy system of the configuration in force.
 */
import type { Exchange } from "../http/exchange.ts";
import { sendFailure } from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";

export async function passToLegacy(
  runtime: Runtime,
  exchange: Exchange,
  body: Buffer,
): Promise<void> {
  const address = runtime.configuration.current()?.content.legacy?.address;
  if (address === undefined) {
    return sendFailure(exchange, {
      code: "not_configured",
      ran: "no",
      message: "this duty is off and no legacy address is configured",
    });
  }
  runtime.log(
    "request_passed_through",
    { route: exchange.request.url ?? "" },
    { request: exchange.id },
  );
  const passed = await runtime.legacy.pass(exchange, { address, body });
  if (passed.isErr()) sendFailure(exchange, passed.error);
}
