/**
 * A zone of daemons on the in-memory network, for the tests and measurements of
 * this package and its users.
 */
import {
  Clock,
  createManualClock,
  type ManualClock,
} from "@peridotvalve/clock";
import { createHybridClock } from "@peridotvalve/events";
import type { Milliseconds } from "@peridotvalve/types";
import { createMembership } from "./membership.ts";
import { createMemoryNetwork, type MemoryNetwork } from "./memory_transport.ts";
import type { Membership, MembershipOptions } from "./options.ts";

export interface TestDaemon {
  readonly membership: Membership;
  readonly address: string;
  /** Suspends the process while time continues. */
  pause(): void;
  resume(): void;
  stop(): void;
}

export interface TestZone {
  readonly clock: ManualClock;
  readonly network: MemoryNetwork;
  start(index: number, options?: StartOptions): TestDaemon;
}

export interface StartOptions extends Partial<MembershipOptions> {
  /** Offset of the daemon's wall clock. */
  readonly skew?: Milliseconds;
  readonly address?: string;
}

export function createTestZone(
  size: number,
  options: { readonly zone?: string; readonly seed?: number } = {},
): TestZone {
  const { zone = "z", seed = 1 } = options;
  const clock = createManualClock(1_700_000_000_000);
  const network = createMemoryNetwork(clock, seed);
  const seeds = Array.from({ length: size }, (_, index) => ({
    address: `10.0.0.${index}:7000`,
    zone,
  }));

  function start(index: number, overrides: StartOptions = {}): TestDaemon {
    const address = overrides.address ?? `10.0.0.${index}:7000`;
    const pausable = createPausableClock(clock, overrides.skew ?? 0);
    const controller = new AbortController();
    const transport = network.attach(address);
    const membership = createMembership({
      name: `entry-${index}`,
      secret: "secret",
      clock: pausable.clock,
      hybridClock: createHybridClock(pausable.clock),
      ...{ zone, transport, seeds },
      ...overrides,
    });
    void membership.run(controller.signal);
    return {
      ...{ membership, address },
      pause: pausable.pause,
      resume: pausable.resume,
      stop() {
        controller.abort();
        void transport.close();
      },
    };
  }

  return { clock, network, start };
}

/** A clock whose `sleep` does not resolve while it is paused. */
function createPausableClock(base: ManualClock, skew: Milliseconds) {
  let resumed = Promise.resolve();
  let wake = () => {};
  const clock = new (class extends Clock {
    override now() {
      return base.now() + skew;
    }
    override monotonic() {
      return base.monotonic();
    }
    override async sleep(duration: Milliseconds, signal?: AbortSignal) {
      await base.sleep(duration, signal);
      await resumed;
    }
  })();
  return {
    clock,
    pause() {
      resumed = new Promise((resolve) => wake = resolve);
    },
    resume() {
      wake();
      resumed = Promise.resolve();
    },
  };
}
