/**
 * Forwards an exchange to the legacy system of the current configuration.
 */
import type { Exchange } from "../http/exchange.ts";
import { sendFailure } from "../http/respond.ts";
import type { Runtime } from "../runtime.ts";

/**
 * Forwards the exchange and always answers it. Without a legacy address the
 * caller gets `not_configured`.
 */
export async function forwardToLegacy(
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
  const forwarded = await runtime.legacy.forward(exchange, { address, body });
  if (forwarded.isErr()) sendFailure(exchange, forwarded.error);
}
