/**
 * The lines of the capacity page: measured slopes times the two-year sizes.
 */
import { RETENTION } from "@peridotvalve/claims";
import { SECOND } from "@peridotvalve/types";
import { fitLine } from "./fit.ts";
import type { Slopes } from "./slopes.ts";

export type Line = Readonly<Record<string, string>>;

export interface Section {
  readonly title: string;
  readonly text: string;
  readonly lines: readonly Line[];
}

/** Sizes of the two-year target (docs/design.md, section 3). */
const DAEMONS = 360;
const ZONE_DAEMONS = 45;
const ZONES = 8;
const ZONE_REPLICAS = 91;
const REPLICAS = 730;
const REQUESTS = 3_200 / DAEMONS;
const TOKENS = 1_400_000 / DAEMONS;
const CHANGES = 650 / 86_400;

/** Bounds of control in a daemon. */
const CONTROL_MILLISECONDS = 20;
const CONTROL_BYTES = 32e6;
const CONTROL_TRAFFIC = 12_000;

/** Two daemons poll each replica; other zones are read every 8 s. */
const POLLS = 2 * ZONE_REPLICAS / ZONE_DAEMONS +
  2 * (REPLICAS - ZONE_REPLICAS) / 8 / ZONE_DAEMONS;
/** Two changing daemons of a zone every 2 s, and each one every 300 s. */
const VM_LISTS = 2 / 2 / ZONE_DAEMONS + 1 / 300;
const SCRAPES = 1 / 15;
/** A tenth of the 70 ms between tokens. */
const LONGEST_BLOCK = 7;

/** The target does not state the share of orders; this one is assumed. */
const ORDER_SHARE = 0.02;
const WRITES_PER_ORDER_DELETION = 1;
const PLATFORM_WRITES = 500;
const PLATFORM_READS = 2_000;

/** One token every 70 ms; 437 tokens for each request. */
const STREAM_SECONDS = TOKENS / REQUESTS * 0.07;

export function deriveLines(slopes: Slopes): {
  readonly sections: readonly Section[];
  readonly notes: readonly string[];
} {
  const control = deriveControl(slopes);
  const platform = derivePlatform(slopes);
  const data = deriveDataPath(slopes);
  return {
    sections: [control.section, platform.section, data.section],
    notes: [...control.notes, ...platform.notes, ...data.notes],
  };
}

interface Part {
  readonly section: Section;
  readonly notes: readonly string[];
}

interface Duty {
  readonly duty: string;
  readonly state: string;
  readonly messages: string;
  /** Processor time, ms for each second; heap, bytes; traffic, bytes/s. */
  readonly processor: number;
  readonly heap: number;
  readonly traffic: number;
  readonly slope: string;
  readonly mechanism: string;
}

/** The figures of the greatest measured size. */
function largest(figures: readonly Record<string, number>[], key: string) {
  return figures.at(-1)?.[key] ?? NaN;
}

function listDuties(slopes: Slopes): readonly Duty[] {
  const of = (name: string) => slopes[name]?.figures ?? {};
  const heartbeat = of("heartbeats")["results"].at(-1);
  const config = of("configuration");
  const reading = config["reading"];
  const board = of("load")["board"];
  const poll = largest(
    of("load")["polls"],
    "processorMillisecondsForEachPoll",
  );
  const pollBytes: number = of("load")["pollBytes"];
  const fleet = of("fleet")["candidates"];
  const metrics = of("logging")["metrics"][0];
  const events = of("logging")["events"];
  const configBytes = largest(reading, "bytes");
  return [
    {
      duty: "configuration watch",
      state: "one object of 730 replicas and 300 customers",
      messages: "a reader polls the head each second; 2 reads for a change",
      processor: poll + CHANGES * largest(reading, "readAndCheckMilliseconds"),
      heap: largest(reading, "heapBytes"),
      traffic: pollBytes + CHANGES * configBytes,
      slope: "configuration; a poll costs as much as a load poll",
      mechanism: "two readers in each availability zone, version in heartbeats",
    },
    {
      duty: "heartbeats and load exchange",
      state: "44 peers",
      messages: `a datagram of ${heartbeat.datagramBytes} B to each peer ` +
        `every ${(heartbeat.intervalMilliseconds / 1_000).toFixed(1)} s`,
      processor: heartbeat.processorMilliseconds,
      heap: largest(board, "heapBytesForEachDaemon"),
      traffic: heartbeat.bytesPerSecond,
      slope: "heartbeats, load (in-memory network, without system calls)",
      mechanism: "interval grows with the zone; changed entries only",
    },
    {
      duty: "report polling",
      state: "a client and the newest report of each replica",
      messages: `${POLLS.toFixed(1)} polls/s of ${pollBytes} B`,
      processor: POLLS * poll,
      heap: largest(fleet, "heapBytes"),
      traffic: POLLS * pollBytes,
      slope: "load, fleet",
      mechanism: "two pollers for each replica, by rendezvous hashing",
    },
    {
      duty: "VM list",
      state: "the newest list",
      messages: `${VM_LISTS.toFixed(3)} reads/s of all VMs`,
      processor: VM_LISTS *
        largest(config["vmLists"], "processorMilliseconds"),
      heap: largest(config["vmLists"], "bytes"),
      traffic: VM_LISTS * largest(config["vmLists"], "bytes"),
      slope: "configuration",
      mechanism: "two readers in a zone, which change every 2 s",
    },
    {
      duty: "placement",
      state: "none besides load and belief table",
      messages: "none; one list of candidates for each attempt",
      processor: REQUESTS * largest(fleet, "candidatesMilliseconds"),
      heap: 0,
      traffic: 0,
      slope: "fleet",
      mechanism: "computed from the load board",
    },
    {
      duty: "belief table",
      state: "262,144 entries of 13 B; 4 blocks for each of 65,000 prompts",
      messages: "none",
      processor: REQUESTS *
        largest(of("routing")["decisions"], "medianMicroseconds") / 1_000 /
        4,
      heap: 262_144 * 13,
      traffic: 0,
      slope: "routing (ranking of 730 candidates, a quarter in a model)",
      mechanism: "fixed size; a directory of 250,000 prompts is not kept",
    },
    {
      duty: "admission",
      state: "queues of 300 customers",
      messages: "none",
      processor: REQUESTS *
        largest(of("admission")["admissions"], "medianMicroseconds") / 1_000,
      heap: 256 *
        largest(of("admission")["admissions"], "bytesPerQueued"),
      traffic: 0,
      slope: "admission",
      mechanism: "at most 256 waiting requests in a daemon",
    },
    {
      duty: "logging and metrics",
      state: "1,000 events; 3 label sets for each of 4 models",
      messages: "log lines to standard output; a scrape every 15 s",
      processor: 4 * REQUESTS * largest(events, "microsecondsForEach") /
          1_000 + SCRAPES * metrics.renderMilliseconds,
      heap: 1_000 * largest(events, "bytesForEach"),
      traffic: 0,
      slope: "logging (4 events for each request)",
      mechanism: "a ring of fixed length; histograms are not in the heap sum",
    },
  ];
}

function deriveControl(slopes: Slopes): Part {
  const duties = listDuties(slopes);
  const sum = (key: "processor" | "heap" | "traffic") =>
    duties.reduce((total, duty) => total + duty[key], 0);
  const sums: Line = {
    duty: "sum of control",
    state: "",
    messages: "",
    "processor, ms/s": `${sum("processor").toFixed(1)} of 20: ` +
      verdict(sum("processor"), CONTROL_MILLISECONDS),
    "heap, MB": `${megabytes(sum("heap"))} of 32: ` +
      verdict(sum("heap"), CONTROL_BYTES),
    "traffic, KB/s": `${kilobytes(sum("traffic"))} of 12: ` +
      verdict(sum("traffic"), CONTROL_TRAFFIC),
    slopes: "",
    mechanism: "",
  };
  const lines = duties.map((duty): Line => ({
    duty: duty.duty,
    state: duty.state,
    messages: duty.messages,
    "processor, ms/s": mark(duty.processor.toFixed(2), {
      value: duty.processor,
      bound: CONTROL_MILLISECONDS,
    }),
    "heap, MB": mark(megabytes(duty.heap), {
      value: duty.heap,
      bound: CONTROL_BYTES,
    }),
    "traffic, KB/s": mark(kilobytes(duty.traffic), {
      value: duty.traffic,
      bound: CONTROL_TRAFFIC,
    }),
    slopes: duty.slope,
    mechanism: duty.mechanism,
  }));
  const bases: readonly Record<string, number | string>[] = slopes["relay"]
    ?.figures["bases"];
  const idle = slopes["relay"]?.figures["idle"].at(-1);
  const base = bases.map(({ name, residentBytes, heapBytes }) =>
    `${name}: ${megabytes(Number(residentBytes))} MB resident, ` +
    `${megabytes(Number(heapBytes))} MB of heap`
  ).join("; ");
  const text = "The duties that every daemon has, for one daemon. The heap " +
    "is the growth with control state. The base of the process is separate " +
    `(${base}). An idle daemon of the example with 3 replicas and ` +
    `${idle.daemons} daemons, run through the loader, uses ` +
    `${(100 * idle.coreShare).toFixed(1)}% of a core and ` +
    `${megabytes(idle.residentBytes)} MB resident.`;
  return {
    section: {
      title: "Control in one daemon",
      text,
      lines: [...lines, sums],
    },
    notes: noteControl(slopes, duties),
  };
}

function noteControl(
  slopes: Slopes,
  duties: readonly Duty[],
): readonly string[] {
  const processorOf = (name: string) =>
    duties.find(({ duty }) => duty === name)?.processor ?? NaN;
  const render = slopes["logging"]?.figures["metrics"][0].renderMilliseconds;
  const list = slopes["configuration"]?.figures["vmLists"].at(-1);
  const rest = duties.filter(({ duty }) => duty !== "placement")
    .reduce((sum, { processor }) => sum + processor, 0);
  return [
    `VM list: ${list.bytes} B for each read, which the daemons of a zone ` +
    "take in turn. Traffic is above its bound by the sum only; a shorter " +
    "short form of reports in heartbeats will carry it.",
    `Placement: ${
      processorOf("placement").toFixed(1)
    } ms/s; the other duties ` +
    `together ${rest.toFixed(1)} ms/s. A list of candidates that is kept ` +
    "between requests, and unseen dispatches summed when a digest arrives, " +
    "will carry it where it does not fit.",
    `Metrics: one scrape of 4 series of quantiles blocks the process for ` +
    `${render} ms. ` +
    (render > LONGEST_BLOCK
      ? "It does not fit: tokens wait as long; rendering will have to yield " +
        "between series."
      : `It fits the ${LONGEST_BLOCK} ms that tokens may wait.`),
    "Aggregates between availability zones: not measured. One daemon in each " +
    "zone sends 14 datagrams a second; the others send none.",
    "Cache event reading, the sweeper inside the daemon and roll-outs: not " +
    "measured inside a daemon. The sweeper by itself is measured below.",
    "Relay of the control state under a fleet of 730 reachable replicas in " +
    "one process: not measured; the sums are of separate measurements.",
  ];
}

function derivePlatform(slopes: Slopes): Part {
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

function deriveDataPath(slopes: Slopes): Part {
  const { loads, streams, delays } = slopes["relay"]?.figures ?? {};
  const { slope, intercept } = fitLine(
    loads.map((one: Record<string, number>) => [
      one["tokensForEachRequest"],
      one["processorMillisecondsForEachRequest"],
    ]),
  );
  const cost = REQUESTS * intercept + TOKENS * slope;
  const open = REQUESTS * STREAM_SECONDS;
  const bytes = largest(streams, "bytesForEach");
  return {
    section: {
      title: "Data path of one daemon",
      text:
        "One daemon process against engine stand-ins that answer at once. " +
        "Processor time is from /proc; memory is heap and buffers.",
      lines: [
        ...loads.map((one: Record<string, number>): Line => ({
          what: `${one["tokensForEachRequest"]} tokens for each request`,
          measured: `${one["processorMillisecondsForEachRequest"]} ms each: ` +
            `${one["requestsPerCoreSecond"]?.toFixed(0)} requests/s and ` +
            `${one["tokensPerCoreSecond"]?.toFixed(0)} tokens/s on one core`,
          "two-year size": "",
        })),
        {
          what: "fit: ms for each request, for each token",
          measured: `${intercept.toFixed(2)} + ${slope.toFixed(4)} n`,
          "two-year size": `${cost.toFixed(0)} ms/s: ` +
            verdict(cost, 1_000) + " one core",
        },
        ...streams.map((one: Record<string, number>): Line => ({
          what: `${one["streams"]} open streams (${one["running"]} running)`,
          measured: `${one["bytesForEach"]} B for each`,
          "two-year size": "",
        })),
        {
          what: "open streams at the two-year size",
          measured: `${open.toFixed(0)} streams of 30 s`,
          "two-year size": `${megabytes(open * bytes)} MB`,
        },
        ...delays.map((one: Record<string, number>): Line => ({
          what: `added delay, ${one["callers"]} callers, ${one["pairs"]} pairs`,
          measured: `median ratio ${one["medianRatio"]} ` +
            `(+${one["addedMedianMilliseconds"]} ms), 99th percentile ratio ` +
            `${one["p99Ratio"]} (+${one["addedP99Milliseconds"]} ms)`,
          "two-year size": "bound of first token: 300 ms",
        })),
      ],
    },
    notes: [
      "Added delay under 32 closed-loop callers is queueing in a saturated " +
      "process, far above the two-year load of a daemon.",
      "Memory of streams is the growth of heap and buffers after a garbage " +
      "collection. Buffers of the kernel's sockets are not in it. The first " +
      "size begins with what the load before it left in the heap, so its " +
      "figure is not usable; the derivation uses the greatest size.",
    ],
  };
}

function mark(
  text: string,
  { value, bound }: { readonly value: number; readonly bound: number },
): string {
  return value <= bound ? text : `${text}, does not fit`;
}

function verdict(value: number, bound: number): string {
  return value <= bound ? "fits" : "does not fit";
}

function megabytes(bytes: number): string {
  return (Math.max(0, bytes) / 1e6).toFixed(1);
}

function kilobytes(bytes: number): string {
  return (bytes / 1e3).toFixed(1);
}
