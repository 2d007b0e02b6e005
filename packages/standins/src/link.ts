/**
 * A link or disk of limited rate that its users share in order of arrival.
 */
export interface Link {
  /** Waits until the bytes have passed. */
  transfer(bytes: number, slowFactor: number): Promise<void>;
}

/** The rate is in bytes per second; `wait` waits in the stand-in's own time. */
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
