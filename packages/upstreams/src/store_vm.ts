/**
 * Interface of a store VM, which keeps KV cache blocks in memory and on disk.
 * Blocks are transferred directly between engine and store VM; the daemon only
 * looks up and deletes them.
 */
import type {
  BlockName,
  Bytes,
  Milliseconds,
  Settlement,
  StoredBlock,
} from "@peridotvalve/types";
import type { Result } from "ts-results-es";

export interface StoreStats {
  /** Random id generated when the store VM starts. */
  readonly incarnation: string;
  readonly memoryBytes: Bytes;
  readonly memoryLimit: Bytes;
  readonly diskBytes: Bytes;
  readonly diskLimit: Bytes;
  readonly blocks: number;
}

export abstract class StoreVm {
  abstract readonly address: string;

  /** Deletes the block if it still has the given generation. */
  abstract deleteBlock(
    block: StoredBlock,
    timeout: Milliseconds,
  ): Promise<Settlement<void>>;

  /** Looks up a block; undefined when the store VM holds no complete one. */
  abstract findBlock(
    name: BlockName,
    timeout: Milliseconds,
  ): Promise<Result<StoredBlock | undefined, string>>;

  abstract readStats(
    timeout: Milliseconds,
  ): Promise<Result<StoreStats, string>>;
}
