/**
 * HTTP servers for the readiness check and the metrics.
 */
import { createServer, type Server } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { HEAD_CHECK_PERIOD, type Intake } from "./intake.ts";
import type { Address } from "./options.ts";
import { closeUnread, trackRequests } from "./side_servers.ts";

export interface StatusServerOptions {
  readonly readyPath: string;
  readonly isReady: () => boolean;
  readonly metricsPath: string | undefined;
  readonly renderMetrics: () => string;
  readonly intake: Intake;
  readonly listener: "ready" | "metrics";
}

export function createStatusServer(options: StatusServerOptions): Server {
  const { intake, listener } = options;
  const server = createServer({
    connectionsCheckingInterval: HEAD_CHECK_PERIOD,
  }, (request, response) => {
    closeUnread(intake, request, response);
    const path = request.url ?? "/";
    if (path === options.metricsPath) {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(options.renderMetrics());
      return;
    }
    const isKnown = path === options.readyPath;
    const status = !isKnown ? 404 : options.isReady() ? 200 : 503;
    response.writeHead(status).end();
  });
  trackRequests(intake, server, listener);
  return server;
}

/** Length of the accept queue; load peaks open many connections at once. */
const BACKLOG = 1_024;

export function listen(
  server: Server,
  { host, port }: Address,
): Promise<Result<void, string>> {
  return new Promise((resolve) => {
    server.once("error", (error) => resolve(Err(error.message)));
    server.listen(
      { host, port, backlog: BACKLOG },
      () => resolve(Ok(undefined)),
    );
  });
}
