/**
 * What the VM of a process has, as its settings or the operating system state
 * it.
 */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import type { Bytes } from "@peridotvalve/types";
import type { ProcessSettings } from "@peridotvalve/settings";

export interface VmLimits {
  readonly memory: Bytes;
  /** Descriptors that the process may open; Infinity when not known. */
  readonly descriptors: number;
}

const LIMITS_FILE = "/proc/self/limits";

export function readVmLimits({ vm }: Pick<ProcessSettings, "vm">): VmLimits {
  return {
    memory: vm.memory ?? readMemory(),
    descriptors: vm.descriptors ?? readDescriptorLimit(),
  };
}

/** Zero, or more than the VM has, says that the process is not constrained. */
function readMemory(): Bytes {
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
}

function readDescriptorLimit(): number {
  try {
    const text = readFileSync(LIMITS_FILE, "utf8");
    const limit = /^Max open files\s+(\d+)/m.exec(text)?.[1];
    return limit === undefined ? Infinity : Number(limit);
  } catch {
    return Infinity;
  }
}
