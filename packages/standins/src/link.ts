/**
 * A network link or disk with limited bandwidth. Concurrent transfers are
 * queued and run one after another in order of arrival.
 */
export interface Link {
  /**
   * Resolves when the bytes have been transferred, after all earlier transfers.
   * `slowFactor` multiplies the duration of this transfer.
   */
  transfer(bytes: number, slowFactor: number): Promise<void>;
}

/** `wait` waits for a duration that the stand-in's `speed` option divides. */
export function createLink(
  bytesPerSecond: number,
  wait: (milliseconds: number) => Promise<void>,
): Link {
  let lastTransfer: Promise<void> = Promise.resolve();
  return {
    transfer(bytes, slowFactor) {
      const duration = bytes / bytesPerSecond * 1_000 * slowFactor;
      lastTransfer = lastTransfer.then(() => wait(duration));
      return lastTransfer;
    },
  };
}
