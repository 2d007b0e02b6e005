/**
 * Derives the cost of the control duties of one daemon at the two-year size.
 */
import {
  type Derivation,
  describeFit,
  figureAtLargestSize,
  formatKilobytes,
  formatMegabytes,
  type Line,
  markIfExceeded,
} from "./lines.ts";
import {
  CONFIGURATION_CHANGES_PER_SECOND,
  CONTROL_BYTES_PER_SECOND,
  CONTROL_CPU_MILLISECONDS_PER_SECOND,
  CONTROL_HEAP_BYTES,
  DAEMON_POLLS_PER_SECOND,
  DAEMON_REQUESTS_PER_SECOND,
  DAEMON_VM_LIST_READS_PER_SECOND,
  MAXIMUM_BLOCK_MILLISECONDS,
  SCRAPES_PER_SECOND,
} from "./sizes.ts";
import type { Slopes } from "./slopes.ts";

/** One row of the table; `state`, `messages` and `mechanism` are text for it. */
interface Duty {
  readonly duty: string;
  readonly state: string;
  readonly messages: string;
  /** CPU time in milliseconds per second. */
  readonly cpu: number;
  /** Bytes. */
  readonly heap: number;
  /** Bytes per second. */
  readonly traffic: number;
  readonly slope: string;
  readonly mechanism: string;
}

function listDuties(slopes: Slopes): readonly Duty[] {
  const figuresOf = (name: string) => slopes[name]?.figures ?? {};
  const heartbeat = figuresOf("heartbeats")["results"].at(-1);
  const configuration = figuresOf("configuration");
  const configurationReads = configuration["reading"];
  const tracker = figuresOf("load")["board"];
  const pollMilliseconds = figureAtLargestSize(
    figuresOf("load")["polls"],
    "processorMillisecondsForEachPoll",
  );
  const pollBytes: number = figuresOf("load")["pollBytes"];
  const fleet = figuresOf("fleet")["candidates"];
  const metrics = figuresOf("logging")["metrics"][0];
  const events = figuresOf("logging")["events"];
  const configurationBytes = figureAtLargestSize(configurationReads, "bytes");
  return [
    {
      duty: "configuration watch",
      state: "one object of 730 replicas and 300 customers",
      messages: "a reader polls the head each second; 2 reads for a change",
      cpu: pollMilliseconds +
        CONFIGURATION_CHANGES_PER_SECOND *
          figureAtLargestSize(configurationReads, "readAndCheckMilliseconds"),
      heap: figureAtLargestSize(configurationReads, "heapBytes"),
      traffic: pollBytes +
        CONFIGURATION_CHANGES_PER_SECOND * configurationBytes,
      slope: "configuration; a poll costs as much as a load poll",
      mechanism: "two readers in each availability zone, version in heartbeats",
    },
    {
      duty: "heartbeats and load exchange",
      state: "44 peers",
      messages: `a datagram of ${heartbeat.datagramBytes} B to each peer ` +
        `every ${(heartbeat.intervalMilliseconds / 1_000).toFixed(1)} s`,
      cpu: heartbeat.processorMilliseconds,
      heap: figureAtLargestSize(tracker, "heapBytesForEachDaemon"),
      traffic: heartbeat.bytesPerSecond,
      slope: "heartbeats, load (in-memory network, without system calls)",
      mechanism: "interval grows with the zone; changed entries only",
    },
    {
      duty: "report polling",
      state: "a client and the newest report of each replica",
      messages: `${
        DAEMON_POLLS_PER_SECOND.toFixed(1)
      } polls/s of ${pollBytes} B`,
      cpu: DAEMON_POLLS_PER_SECOND * pollMilliseconds,
      heap: figureAtLargestSize(fleet, "heapBytes"),
      traffic: DAEMON_POLLS_PER_SECOND * pollBytes,
      slope: "load, fleet",
      mechanism: "two pollers for each replica, by rendezvous hashing",
    },
    {
      duty: "VM list",
      state: "the newest list",
      messages: `${
        DAEMON_VM_LIST_READS_PER_SECOND.toFixed(3)
      } reads/s of all VMs`,
      cpu: DAEMON_VM_LIST_READS_PER_SECOND *
        figureAtLargestSize(configuration["vmLists"], "processorMilliseconds"),
      heap: figureAtLargestSize(configuration["vmLists"], "bytes"),
      traffic: DAEMON_VM_LIST_READS_PER_SECOND *
        figureAtLargestSize(configuration["vmLists"], "bytes"),
      slope: "configuration",
      mechanism: "two readers in each zone, which rotate every 2 s",
    },
    {
      duty: "placement",
      state: "none besides load and prefix index",
      messages: "none; one list of candidates for each attempt",
      cpu: DAEMON_REQUESTS_PER_SECOND *
        figureAtLargestSize(fleet, "candidatesMilliseconds"),
      heap: 0,
      traffic: 0,
      slope: "fleet",
      mechanism: "computed from the load tracker",
    },
    {
      duty: "prefix index",
      state: "262,144 entries of 13 B; 4 blocks for each of 65,000 prompts",
      messages: "none",
      cpu: DAEMON_REQUESTS_PER_SECOND *
        figureAtLargestSize(
          figuresOf("routing")["decisions"],
          "medianMicroseconds",
        ) / 1_000 /
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
      cpu: DAEMON_REQUESTS_PER_SECOND *
        figureAtLargestSize(
          figuresOf("admission")["admissions"],
          "medianMicroseconds",
        ) / 1_000,
      heap: 256 *
        figureAtLargestSize(
          figuresOf("admission")["admissions"],
          "bytesPerQueued",
        ),
      traffic: 0,
      slope: "admission",
      mechanism: "at most 256 waiting requests in a daemon",
    },
    {
      duty: "logging and metrics",
      state: "1,000 events; 3 label sets for each of 4 models",
      messages: "log lines to standard output; a scrape every 15 s",
      cpu: 4 * DAEMON_REQUESTS_PER_SECOND *
          figureAtLargestSize(events, "microsecondsForEach") /
          1_000 + SCRAPES_PER_SECOND * metrics.renderMilliseconds,
      heap: 1_000 * figureAtLargestSize(events, "bytesForEach"),
      traffic: 0,
      slope: "logging (4 events for each request)",
      mechanism: "a ring of fixed length; histograms are not in the heap sum",
    },
  ];
}

/** Derives the section on control and its notes. */
export function deriveControl(slopes: Slopes): Derivation {
  const duties = listDuties(slopes);
  const sum = (key: "cpu" | "heap" | "traffic") =>
    duties.reduce((total, duty) => total + duty[key], 0);
  const sums: Line = {
    duty: "sum of control",
    state: "",
    messages: "",
    "CPU, ms/s": `${sum("cpu").toFixed(1)} of 20: ` +
      describeFit(sum("cpu"), CONTROL_CPU_MILLISECONDS_PER_SECOND),
    "heap, MB": `${formatMegabytes(sum("heap"))} of 32: ` +
      describeFit(sum("heap"), CONTROL_HEAP_BYTES),
    "traffic, KB/s": `${formatKilobytes(sum("traffic"))} of 12: ` +
      describeFit(sum("traffic"), CONTROL_BYTES_PER_SECOND),
    slopes: "",
    mechanism: "",
  };
  const lines = duties.map((duty): Line => ({
    duty: duty.duty,
    state: duty.state,
    messages: duty.messages,
    "CPU, ms/s": markIfExceeded(duty.cpu.toFixed(2), {
      value: duty.cpu,
      bound: CONTROL_CPU_MILLISECONDS_PER_SECOND,
    }),
    "heap, MB": markIfExceeded(formatMegabytes(duty.heap), {
      value: duty.heap,
      bound: CONTROL_HEAP_BYTES,
    }),
    "traffic, KB/s": markIfExceeded(formatKilobytes(duty.traffic), {
      value: duty.traffic,
      bound: CONTROL_BYTES_PER_SECOND,
    }),
    slopes: duty.slope,
    mechanism: duty.mechanism,
  }));
  const bases: readonly Record<string, number | string>[] = slopes["relay"]
    ?.figures["bases"];
  const idle = slopes["relay"]?.figures["idle"].at(-1);
  const base = bases.map(({ name, residentBytes, heapBytes }) =>
    `${name}: ${formatMegabytes(Number(residentBytes))} MB resident, ` +
    `${formatMegabytes(Number(heapBytes))} MB of heap`
  ).join("; ");
  const text = "The duties of every daemon, for one daemon. The heap is the " +
    "growth with control state, without the baseline of the process " +
    `(${base}). An idle daemon of the example with 3 replicas and ` +
    `${idle.daemons} daemons, run through the loader, uses ` +
    `${(100 * idle.coreShare).toFixed(1)}% of a core and ` +
    `${formatMegabytes(idle.residentBytes)} MB resident.`;
  return {
    section: {
      title: "Control in one daemon",
      text,
      lines: [...lines, sums],
    },
    notes: createControlNotes(slopes, duties),
  };
}

function createControlNotes(
  slopes: Slopes,
  duties: readonly Duty[],
): readonly string[] {
  const cpuOf = (name: string) =>
    duties.find(({ duty }) => duty === name)?.cpu ?? NaN;
  const renderMilliseconds = slopes["logging"]?.figures["metrics"][0]
    .renderMilliseconds;
  const vmList = slopes["configuration"]?.figures["vmLists"].at(-1);
  const otherDuties = duties.filter(({ duty }) => duty !== "placement")
    .reduce((sum, { cpu }) => sum + cpu, 0);
  return [
    `VM list: ${vmList.bytes} B for each read, which the daemons of a zone ` +
    "read in turn. Only the sum of the traffic exceeds its bound; a more " +
    "compact form of the reports in heartbeats will bring it within the bound.",
    `Placement: ${cpuOf("placement").toFixed(1)} ms/s; the other duties ` +
    `together ${
      otherDuties.toFixed(1)
    } ms/s. Unreported dispatches are summed once for ` +
    "each digest; where placement does not fit, a list of candidates that " +
    "is kept between requests will bring it within the bound.",
    `Metrics: one scrape of 4 series of quantiles blocks the process for ` +
    `${renderMilliseconds} ms. ` +
    (renderMilliseconds > MAXIMUM_BLOCK_MILLISECONDS
      ? "It does not fit: tokens wait for as long, so rendering has to yield " +
        "between series."
      : `It fits the ${MAXIMUM_BLOCK_MILLISECONDS} ms that tokens may wait.`),
    "Aggregates between availability zones: not measured. One daemon in each " +
    "zone sends 14 datagrams a second; the others send none.",
    "Cache event reading, the claim sweeper in the daemon and rollouts: not " +
    "measured inside a daemon. The sweeper by itself is measured below.",
    "Relaying with the control state of 730 reachable replicas in one " +
    "process: not measured; the sums add up separate measurements.",
  ];
}
