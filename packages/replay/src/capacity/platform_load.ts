/**
 * Derives the platform reads and writes of the whole fleet at the two-year size.
 */
import { RETENTION } from "@peridotvalve/claims";
import { SECOND } from "@peridotvalve/types";
import {
  type Derivation,
  figureAtLargestSize,
  type Line,
  markIfExceeded,
} from "./lines.ts";
import {
  CONFIGURATION_CHANGES_PER_SECOND,
  DAEMON_VM_LIST_READS_PER_SECOND,
  DAEMONS,
  ORDER_SHARE,
  PLATFORM_READS_PER_SECOND,
  PLATFORM_WRITES_PER_SECOND,
  WRITES_PER_ORDER_DELETION,
  ZONE_DAEMONS,
  ZONES,
} from "./sizes.ts";
import type { Slopes } from "./slopes.ts";

/** Derives the section on the platform and its notes. */
export function derivePlatform(slopes: Slopes): Derivation {
  const { claims, sweeps, leases } = slopes["coordination"]?.figures ?? {};
  const watch = slopes["configuration"]?.figures["watches"].at(-1);
  const ordersPerSecond = ORDER_SHARE * 3_200;
  const writesPerOrder = figureAtLargestSize(claims, "writesForEachOrder") +
    WRITES_PER_ORDER_DELETION;
  const renewals = 8 / 3 *
    figureAtLargestSize(leases, "writesForEachRenewal");
  const writes = ordersPerSecond * writesPerOrder + renewals +
    2 * CONFIGURATION_CHANGES_PER_SECOND;
  const watchReads = 2 * ZONES * watch.readsPerSecond / watch.watches;
  const vmListReads = DAEMONS * DAEMON_VM_LIST_READS_PER_SECOND;
  const sweep = sweeps.at(-1);
  const rowsPerRead = sweep.rows / sweep.readsForEachSweep;
  const rows = ordersPerSecond * RETENTION / SECOND;
  const sweepReads = 1_000 / 50;
  const startReads = DAEMONS * (watch.readsForEachStart + 1);
  const zoneStartReads = ZONE_DAEMONS * (watch.readsForEachStart + 1);
  const steadyReads = watchReads + vmListReads + sweepReads;
  const createLine = (
    role: string,
    values: { writes?: number; reads?: number; mechanism: string },
  ): Line => ({
    role,
    "writes/s": values.writes === undefined
      ? "0"
      : markIfExceeded(values.writes.toFixed(1), {
        value: values.writes,
        bound: PLATFORM_WRITES_PER_SECOND,
      }),
    "reads/s": values.reads === undefined
      ? "0"
      : markIfExceeded(values.reads.toFixed(0), {
        value: values.reads,
        bound: PLATFORM_READS_PER_SECOND,
      }),
    mechanism: values.mechanism,
  });
  return {
    section: {
      title: "Reads and writes of the platform",
      text:
        "For the whole fleet, against 500 writes/s and 2,000 reads/s. The " +
        `share of orders is not part of the target; ${100 * ORDER_SHARE}% of ` +
        `the requests (${ordersPerSecond} orders/s) is assumed. Each order takes ` +
        `${writesPerOrder - 1} measured writes and one deletion after its ` +
        `retention, and ` +
        `${
          figureAtLargestSize(claims, "processorMillisecondsForEachOrder")
        } ms of ` +
        "CPU time in its daemon.",
      lines: [
        createLine("claims", {
          writes: ordersPerSecond * writesPerOrder,
          mechanism: "a row for each order; none for idempotent calls",
        }),
        createLine("leases (8)", {
          writes: renewals,
          mechanism: "one renewal every 3 s for each",
        }),
        createLine("configuration", {
          writes: 2 * CONFIGURATION_CHANGES_PER_SECOND,
          reads: watchReads,
          mechanism: "two readers in each availability zone",
        }),
        createLine("VM list", {
          reads: vmListReads,
          mechanism: "two readers in each zone",
        }),
        createLine("sweeper", {
          reads: sweepReads,
          mechanism: `${rowsPerRead} rows a read, 50 ms pause`,
        }),
        createLine("sum", { writes, reads: steadyReads, mechanism: "" }),
        createLine("a change reaches all daemons within 1 s", {
          writes,
          reads: steadyReads + 2 * DAEMONS,
          mechanism: "head and object, spread over the heartbeats' interval",
        }),
        createLine("an availability zone returns within 1 s", {
          writes,
          reads: steadyReads + zoneStartReads,
          mechanism: "2 reads and the VM list for each start",
        }),
        createLine("all daemons restart within 1 s", {
          writes,
          reads: steadyReads + startReads + DAEMONS,
          mechanism: "the same; a daemon without peers polls by itself",
        }),
      ],
    },
    notes: [
      `Claims: ${
        ((PLATFORM_WRITES_PER_SECOND - renewals) / writesPerOrder).toFixed(0)
      } ` +
      "orders/s is the most that the platform's 500 writes/s allow, " +
      `${
        (100 * PLATFORM_WRITES_PER_SECOND / writesPerOrder / 3_200).toFixed(1)
      }% of the requests. Above that does not fit; the sweeper's deletions ` +
      "can be put into one transaction for a page of rows.",
      `Sweeper: ${(rows / 1e6).toFixed(1)} M rows are kept for 7 days. One ` +
      `sweep takes ${(rows / rowsPerRead).toFixed(0)} reads, ` +
      `${(rows / rowsPerRead * 0.05 / 60).toFixed(0)} min at its pace and ` +
      `${
        (sweep.processorMilliseconds / sweep.rows * rows / 1_000).toFixed(0)
      } s of CPU time, including that of the in-memory platform, ` +
      "so that sweeping alone exceeds 2% of the core of the one daemon that " +
      "sweeps: does not fit. Keys that begin with the day of the claim will " +
      "let it read only the rows whose retention has ended.",
    ],
  };
}
