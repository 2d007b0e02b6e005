/**
 * Reads the CPU time and memory of other processes from /proc.
 */
import { readFileSync } from "node:fs";

/** Linux reports CPU times in ticks of 1/100 s on all common platforms. */
const TICK_MILLISECONDS = 10;
const PAGE_BYTES = 4_096;

/**
 * User and system time of the process since its start. Throws when there is no
 * such process.
 */
export function readCpuMilliseconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command name in parentheses may contain spaces.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const [user = 0, system = 0] = fields.slice(11, 13).map(Number);
  return (user + system) * TICK_MILLISECONDS;
}

/** Resident memory of the process. Throws when there is no such process. */
export function readResidentBytes(pid: number): number {
  const pages = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1];
  return Number(pages) * PAGE_BYTES;
}
