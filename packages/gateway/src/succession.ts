/**
 * Moves a request away from a silent replica. The attempt at another replica
 * begins beside the present one, which goes on until the other replica has
 * accepted the request: a silent replica may only be paused, and another one may
 * turn the request away although a place there looked free.
 */
import type { AttemptOutcome } from "./attempt_watch.ts";

/** Whether a replica accepted an attempt. */
export type Reception<Head> =
  | { readonly kind: "accepted"; readonly head: Head }
  | { readonly kind: "ended"; readonly outcome: AttemptOutcome };

export interface ReceivedAttempt<Head> {
  readonly reception: Promise<Reception<Head>>;
}

export interface SuccessionOptions<Running> {
  /**
   * Starts an attempt at another replica; undefined when none may be started
   * now. It asks `isWanted` right before it sends, and sends nothing on false.
   */
  readonly open: (isWanted: () => boolean) => Promise<Running | undefined>;
  /** Records the end of an attempt that the other replica did not accept. */
  readonly settle: (attempt: Running, outcome: AttemptOutcome) => void;
  /** Cancels an attempt that is no longer needed. */
  readonly cancel: (attempt: Running) => void;
}

export interface Succession<Running> {
  /**
   * Tries another replica, unless an attempt there is already under way. Calls
   * `onAccepted` once that replica has accepted the request.
   */
  seek(onAccepted: () => void): Promise<void>;
  /** Keeps the present attempt, unless the other replica has accepted already. */
  keepPresent(): void;
  /** Returns the attempt at the other replica, which replaces the present one. */
  take(): Running | undefined;
  /** Cancels the attempt at the other replica at the end of the request. */
  close(): void;
}

export function createSuccession<Head, Running extends ReceivedAttempt<Head>>(
  { open, settle, cancel }: SuccessionOptions<Running>,
): Succession<Running> {
  let successor: Running | undefined;
  let isAccepted = false;
  /** Differs for each search; undefined while there is none. */
  let search: symbol | undefined;

  function take(): Running | undefined {
    const taken = successor;
    successor = undefined;
    search = undefined;
    isAccepted = false;
    return taken;
  }

  function close(): void {
    const withdrawn = take();
    if (withdrawn !== undefined) cancel(withdrawn);
  }

  return {
    async seek(onAccepted) {
      if (search !== undefined) return;
      const own = Symbol("search");
      search = own;
      const opened = await open(() => search === own);
      if (search !== own) {
        if (opened !== undefined) cancel(opened);
        return;
      }
      if (opened === undefined) {
        search = undefined;
        return;
      }
      successor = opened;
      const reception = await opened.reception;
      if (search !== own) return;
      if (reception.kind === "accepted") {
        isAccepted = true;
        return onAccepted();
      }
      take();
      settle(opened, reception.outcome);
    },
    keepPresent() {
      // The present attempt is already cancelled then, and only its last bytes
      // are still forwarded.
      if (!isAccepted) close();
    },
    take,
    close,
  };
}
