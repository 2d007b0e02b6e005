/**
 * The weight version of an engine, its loads and its fencing check.
 */
import type { EngineOptions } from "./options.ts";

export interface WeightsLoad {
  readonly version: string;
  readonly fence: number;
  readonly from: number;
  /** Undefined while it lasts. */
  readonly to: number | undefined;
}

export interface Weights {
  readonly version: () => string;
  readonly loading: () => boolean;
  /** Every load since the start, with times on the wall clock. */
  readonly history: () => readonly WeightsLoad[];
  /** False when the fencing token is older than one that was seen. */
  order(version: string, fence: number): boolean;
}

export function createWeights(options: EngineOptions, context: {
  readonly wait: (milliseconds: number) => Promise<void>;
  readonly loadFactor: () => number;
  /** Called when the version has changed. */
  readonly onChange: () => void;
}): Weights {
  let version = options.weights;
  let targetVersion = version;
  let highestFence = 0;
  const history: WeightsLoad[] = [];
  let activeLoads = 0;

  async function download(name: string): Promise<void> {
    const { weightStore } = options;
    if (weightStore === undefined) {
      return await context.wait(options.loadDuration * context.loadFactor());
    }
    const url = `http://${weightStore}/weights/${encodeURIComponent(name)}`;
    const response = await fetch(url);
    if (!response.ok) throw new Error(`weight store: ${response.status}`);
    await response.arrayBuffer();
  }

  async function load(name: string, fence: number): Promise<void> {
    activeLoads += 1;
    const from = Date.now();
    const index = history.push({ version: name, fence, from, to: undefined });
    try {
      await download(name);
      // A later order replaces one that is still loading.
      if (targetVersion === name && version !== name) {
        version = name;
        context.onChange();
      }
    } catch {
      // The engine keeps its weights; a new order starts another load.
      if (targetVersion === name) targetVersion = version;
    } finally {
      activeLoads -= 1;
      history[index - 1] = { version: name, fence, from, to: Date.now() };
    }
  }

  return {
    version: () => version,
    loading: () => activeLoads > 0,
    history: () => history,
    order(name, fence) {
      if (options.checksFencing && fence < highestFence) return false;
      highestFence = Math.max(highestFence, fence);
      if (targetVersion !== name) {
        targetVersion = name;
        void load(name, fence);
      }
      return true;
    },
  };
}
