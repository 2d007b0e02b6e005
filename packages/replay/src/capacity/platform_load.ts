/**
 * Reads and writes of the platform by the whole fleet.
 */
import { RETENTION } from "@peridotvalve/claims";
import { SECOND } from "@peridotvalve/types";
import { largest, type Line, mark, type Part } from "./lines.ts";
import {
  CHANGES,
  DAEMONS,
  ORDER_SHARE,
  PLATFORM_READS,
  PLATFORM_WRITES,
  VM_LISTS,
  WRITES_PER_ORDER_DELETION,
  ZONE_DAEMONS,
  ZONES,
} from "./sizes.ts";
import type { Slopes } from "./slopes.ts";

export function derivePlatform(slopes: Slopes): Part {
  const { claims, sweeps, leases } = slopes["coordination"]?.figures ?? {};
  const watch = slopes["configuration"]?.figures["watches"].at(-1);
  const orders = ORDER_SHARE * 3_200;
  const writesPerOrder = largest(claims, "writesForEachOrder") +
    WRITES_PER_ORDER_DELETION;
  const renewals = 8 / 3 *
    largest(leases, "writesForEachRenewal");
  const writes = orders * writesPerOrder + renewals + 2 * CHANGES;
  const polls = 2 * ZONES * watch.readsPerSecond / watch.watches;
  const lists = DAEMONS * VM_LISTS;
  const sweep = sweeps.at(-1);
  const rowsPerRead = sweep.rows / sweep.readsForEachSweep;
  const rows = orders * RETENTION / SECOND;
  const sweepReads = 1_000 / 50;
  const starts = DAEMONS * (watch.readsForEachStart + 1);
  const zoneStarts = ZONE_DAEMONS * (watch.readsForEachStart + 1);
  const steady = polls + lists + sweepReads;
  const line = (
    role: string,
    values: { writes?: number; reads?: number; carried: string },
  ): Line => ({
    role,
    "writes/s": values.writes === undefined
      ? "0"
      : mark(values.writes.toFixed(1), {
        value: values.writes,
        bound: PLATFORM_WRITES,
      }),
    "reads/s": values.reads === undefined
      ? "0"
      : mark(values.reads.toFixed(0), {
        value: values.reads,
        bound: PLATFORM_READS,
      }),
    mechanism: values.carried,
  });
  return {
    section: {
      title: "Reads and writes of the platform",
      text:
        "For the whole fleet, against 500 writes/s and 2,000 reads/s. The " +
        `share of orders is not part of the target; ${100 * ORDER_SHARE}% of ` +
        `the requests (${orders} orders/s) is assumed. Each order takes ` +
        `${writesPerOrder - 1} measured writes and one deletion after its ` +
        `retention, and ` +
        `${largest(claims, "processorMillisecondsForEachOrder")} ms of ` +
        "processor time in its daemon.",
      lines: [
        line("claims", {
          writes: orders * writesPerOrder,
          carried: "a row for each order; none for idempotent calls",
        }),
        line("leases (8)", {
          writes: renewals,
          carried: "one renewal every 3 s for each",
        }),
        line("configuration", {
          writes: 2 * CHANGES,
          reads: polls,
          carried: "two readers in each availability zone",
        }),
        line("VM list", { reads: lists, carried: "two readers in each zone" }),
        line("sweeper", {
          reads: sweepReads,
          carried: `${rowsPerRead} rows a read, 50 ms pause`,
        }),
        line("sum", { writes, reads: steady, carried: "" }),
        line("a change reaches all daemons within 1 s", {
          writes,
          reads: steady + 2 * DAEMONS,
          carried: "head and object, spread over the heartbeats' interval",
        }),
        line("an availability zone returns within 1 s", {
          writes,
          reads: steady + zoneStarts,
          carried: "2 reads and the VM list for each start",
        }),
        line("all daemons restart within 1 s", {
          writes,
          reads: steady + starts + DAEMONS,
          carried: "the same; a daemon without peers polls by itself",
        }),
      ],
    },
    notes: [
      `Claims: ${((PLATFORM_WRITES - renewals) / writesPerOrder).toFixed(0)} ` +
      "orders/s is the most that the platform's 500 writes/s carry, " +
      `${
        (100 * PLATFORM_WRITES / writesPerOrder / 3_200).toFixed(1)
      }% of the requests. Above that does not fit; the sweeper's deletions ` +
      "can be put into one transaction for a page of rows.",
      `Sweeper: ${(rows / 1e6).toFixed(1)} M rows are kept for 7 days. One ` +
      `sweep takes ${(rows / rowsPerRead).toFixed(0)} reads, ` +
      `${(rows / rowsPerRead * 0.05 / 60).toFixed(0)} min at its pace and ` +
      `${
        (sweep.processorMilliseconds / sweep.rows * rows / 1_000).toFixed(0)
      } s of processor time with the in-memory platform's, ` +
      "so that its duty alone exceeds 2% of the core of the one daemon that " +
      "sweeps: does not fit. Keys that begin with the day of the claim will " +
      "let it read only the rows that are due.",
    ],
  };
}
