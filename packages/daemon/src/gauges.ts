/**
 * Gauges that are updated when the metrics are scraped.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Clock } from "@peridotvalve/clock";
import type { ConfigurationWatch } from "@peridotvalve/configuration";
import type { Membership } from "@peridotvalve/membership";
import type { Registry } from "@peridotvalve/metrics";
import type { Milliseconds } from "@peridotvalve/types";

const EVENT_LOOP_SAMPLING_INTERVAL: Milliseconds = 20;
const NANOSECONDS_PER_MILLISECOND = 1e6;
const QUANTILES = [["0.5", 50], ["0.99", 99], ["1", 100]] as const;
const PEER_STATES = ["live", "suspect", "dead", "leaving"] as const;

export interface Gauges {
  /** Sets all gauges to their current values. */
  refresh(): void;
  stop(): void;
}

export interface GaugesOptions {
  readonly registry: Registry;
  readonly clock: Clock;
  readonly configuration: ConfigurationWatch;
  readonly membership: Membership;
}

export function createGauges(options: GaugesOptions): Gauges {
  const { registry, clock, configuration, membership } = options;
  const version = registry.gauge("peridotvalve_configuration_version", {
    help: "Version of the configuration in force; -1 without one.",
  });
  const age = registry.gauge("peridotvalve_configuration_age_seconds", {
    help: "Time since this process adopted its configuration.",
  });
  const peers = registry.gauge("peridotvalve_peers", {
    help: "Peers of the availability zone by state.",
    labels: ["state"],
  });
  const control = registry.gauge("peridotvalve_control_bytes", {
    help: "Bytes of heartbeats since the start, by direction.",
    labels: ["direction"],
  });
  const delay = registry.gauge("peridotvalve_event_loop_delay_milliseconds", {
    help: "Delay of the event loop since the last scrape, by quantile.",
    labels: ["quantile"],
  });
  const delayHistogram = monitorEventLoopDelay({
    resolution: EVENT_LOOP_SAMPLING_INTERVAL,
  });
  let adoptedAt = clock.monotonic();
  delayHistogram.enable();
  configuration.subscribe(() => {
    adoptedAt = clock.monotonic();
  });

  function refresh(): void {
    version.set(configuration.current()?.version ?? -1);
    age.set((clock.monotonic() - adoptedAt) / 1_000);
    const states = membership.peers().map((peer) => peer.state);
    for (const state of PEER_STATES) {
      peers.set(states.filter((one) => one === state).length, { state });
    }
    const { sentBytes, receivedBytes } = membership.traffic();
    control.set(sentBytes, { direction: "sent" });
    control.set(receivedBytes, { direction: "received" });
    for (const [quantile, percentile] of QUANTILES) {
      const period = delayHistogram.percentile(percentile) /
        NANOSECONDS_PER_MILLISECOND;
      // The histogram holds whole timer periods, not the delay beyond them.
      delay.set(Math.max(0, period - EVENT_LOOP_SAMPLING_INTERVAL), {
        quantile,
      });
    }
    delayHistogram.reset();
  }

  return { refresh, stop: () => delayHistogram.disable() };
}
