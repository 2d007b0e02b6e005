/**
 * What the duties of one daemon cost.
 */
import {
  kilobytes,
  largest,
  type Line,
  mark,
  megabytes,
  type Part,
  verdict,
} from "./lines.ts";
import {
  CHANGES,
  CONTROL_BYTES,
  CONTROL_MILLISECONDS,
  CONTROL_TRAFFIC,
  LONGEST_BLOCK,
  POLLS,
  REQUESTS,
  SCRAPES,
  VM_LISTS,
} from "./sizes.ts";
import type { Slopes } from "./slopes.ts";

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

export function deriveControl(slopes: Slopes): Part {
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
    `together ${rest.toFixed(1)} ms/s. Unseen dispatches are summed once for ` +
    "each digest; a list of candidates that is kept between requests will " +
    "carry it where it does not fit.",
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
