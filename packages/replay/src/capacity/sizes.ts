/**
 * Sizes, bounds and assumptions from which the capacity page is derived.
 */
/**
 * The two-year size (docs/design.md, section 3). Rates whose names begin with
 * DAEMON are for one daemon, the others for the whole fleet.
 */
export const DAEMONS = 360;
export const ZONE_DAEMONS = 45;
export const ZONES = 8;
export const ZONE_REPLICAS = 91;
export const REPLICAS = 730;
export const DAEMON_REQUESTS_PER_SECOND = 3_200 / DAEMONS;
export const DAEMON_TOKENS_PER_SECOND = 1_400_000 / DAEMONS;
export const CONFIGURATION_CHANGES_PER_SECOND = 650 / 86_400;

/** Bounds of the control duties of one daemon. */
export const CONTROL_CPU_MILLISECONDS_PER_SECOND = 20;
export const CONTROL_HEAP_BYTES = 32e6;
export const CONTROL_BYTES_PER_SECOND = 12_000;

/**
 * Two daemons of a zone poll each of its replicas once a second, and each
 * replica of the other zones every 8 s.
 */
export const DAEMON_POLLS_PER_SECOND = 2 * ZONE_REPLICAS / ZONE_DAEMONS +
  2 * (REPLICAS - ZONE_REPLICAS) / 8 / ZONE_DAEMONS;
/**
 * In each zone, two daemons in turn read the list every 2 s, and every daemon
 * reads it every 300 s.
 */
export const DAEMON_VM_LIST_READS_PER_SECOND = 2 / 2 / ZONE_DAEMONS + 1 / 300;
export const SCRAPES_PER_SECOND = 1 / 15;
/** Longest block of the event loop: a tenth of the 70 ms between tokens. */
export const MAXIMUM_BLOCK_MILLISECONDS = 7;

/** Assumed share of orders among the requests; the target states none. */
export const ORDER_SHARE = 0.02;
export const WRITES_PER_ORDER_DELETION = 1;
/** Rate limits of the platform for the whole fleet. */
export const PLATFORM_WRITES_PER_SECOND = 500;
export const PLATFORM_READS_PER_SECOND = 2_000;

/** Duration of a stream with one token every 70 ms, 437 tokens per request. */
export const STREAM_SECONDS = DAEMON_TOKENS_PER_SECOND /
  DAEMON_REQUESTS_PER_SECOND * 0.07;
