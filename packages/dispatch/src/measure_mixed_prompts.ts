/**
 * Prints the share of prompts within their targets with `mixed_prompts` off and
 * on, for the deployments of `simulated_fleet.ts`, multiples of their load and
 * three seeds.
 */
import {
  DEPLOYMENT_A,
  DEPLOYMENT_A_SCARCE,
  DEPLOYMENT_B,
  simulateFleet,
} from "./simulated_fleet.ts";

const SITES = {
  ...{ A: DEPLOYMENT_A, B: DEPLOYMENT_B },
  "A, scarce memory": DEPLOYMENT_A_SCARCE,
};
const LOADS = [1, 2.5, 3.2];
const SEEDS = [1, 2, 3];
const DURATION = 8_000;

console.log("site, load, seed, mixed | in target | prefilled again, preempted");
for (const [site, deployment] of Object.entries(SITES)) {
  for (const load of LOADS) {
    for (const seed of SEEDS) {
      for (const isMixed of [false, true]) {
        const options = { seed, duration: DURATION, load, isMixed };
        const result = await simulateFleet(deployment, options);
        const shares = [...result.kinds].map(([name, { total, inTarget }]) =>
          `${name} ${(inTarget / total).toFixed(3)}`
        );
        const prefilled = result.sharedPrefilled / result.promptTokens;
        console.log(
          `${site}, ${load}, ${seed}, ${isMixed ? "on " : "off"} | ` +
            `${shares.join(" ")} | ${prefilled.toFixed(3)} ` +
            result.preemptions,
        );
      }
    }
  }
}
