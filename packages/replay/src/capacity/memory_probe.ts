/**
 * Memory probe, loaded into the measured process through NODE_OPTIONS. On
 * SIGUSR2 it runs a garbage collection and prints the bytes in use as one JSON
 * line.
 */
import { createGarbageCollector } from "./measuring.ts";

const collect = createGarbageCollector();
let count = 0;

process.on("SIGUSR2", () => {
  collect();
  const { heapUsed, external } = process.memoryUsage();
  count += 1;
  console.log(JSON.stringify({ probe: count, bytes: heapUsed + external }));
});
