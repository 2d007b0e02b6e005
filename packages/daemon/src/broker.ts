/**
 * The moleculer broker of one daemon. It is local only: daemons coordinate
 * through the platform, so the library's transporter, discovery and load
 * balancing are disabled.
 */
import { ServiceBroker } from "moleculer";

export function createBroker(name: string): ServiceBroker {
  return new ServiceBroker({
    nodeID: name,
    transporter: null as never,
    // Events are logged by the `events` package.
    logger: false,
    metrics: false,
    tracing: false,
    internalServices: false,
    skipProcessEventRegistration: true,
    hotReload: false,
    registry: { discoverer: "Local" },
    tracking: { enabled: false, shutdownTimeout: 0 },
    requestTimeout: 0,
    maxCallLevel: 0,
    heartbeatInterval: 0,
  });
}
