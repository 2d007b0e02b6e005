/**
 * The weights of an engine: current version, loads and the fencing check.
 */
import type { EngineOptions } from "./options.ts";

export interface WeightsLoad {
  readonly version: string;
  readonly fence: number;
  /** Start in milliseconds since the epoch. */
  readonly from: number;
  /** End in milliseconds since the epoch; undefined while the load runs. */
  readonly to: number | undefined;
}

export interface Weights {
  readonly version: () => string;
  readonly loading: () => boolean;
  /** Every load since the engine started. */
  readonly history: () => readonly WeightsLoad[];
  /**
   * Starts loading a version unless it is already the target. Returns false
   * when the fencing token is older than one seen before.
   */
  order(version: string, fence: number): boolean;
}

export function createWeights(options: EngineOptions, context: {
  readonly wait: (milliseconds: number) => Promise<void>;
  readonly loadFactor: () => number;
  /** Called after the version has changed. */
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
    if (!response.ok) throw new Error(`weight store: HTTP ${response.status}`);
    await response.arrayBuffer();
  }

  async function load(name: string, fence: number): Promise<void> {
    activeLoads += 1;
    const from = Date.now();
    const index = history.push({ version: name, fence, from, to: undefined });
    try {
      await download(name);
      // A later order may have replaced the target during the download.
      if (targetVersion === name && version !== name) {
        version = name;
        context.onChange();
      }
    } catch {
      // The engine keeps its weights. Resetting the target lets a repeated
      // order start another load.
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
