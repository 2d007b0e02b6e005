/**
 * A store VM, which keeps KV cache blocks in memory and on disk. Block bytes
 * go between engine and store VM directly; the daemon only asks and deletes.
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
  /** Random id made when the store VM started. */
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

  /** Says what the store VM holds under a name; undefined: nothing whole. */
  abstract findBlock(
    name: BlockName,
    timeout: Milliseconds,
  ): Promise<Result<StoredBlock | undefined, string>>;

  abstract readStats(
    timeout: Milliseconds,
  ): Promise<Result<StoreStats, string>>;
}
