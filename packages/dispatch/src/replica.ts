/**
 * Table of replicas: their entries in the platform's list, and the state that
 * this daemon has inferred from their responses.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, Timestamp } from "@peridotvalve/types";

export interface Topology {
  readonly zone: string;
  /** Region of each zone. */
  readonly regions: ReadonlyMap<string, string>;
}

/** An entry in the platform's list of replicas. */
export interface ReplicaEntry {
  /** Identifies one incarnation, unless `born` differs. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "leaving";
  /** Start time of the incarnation; absent when the entry has none. */
  readonly born?: Timestamp;
  /**
   * Time for which the replica stays cold, as of the write of the entry; absent
   * when the entry does not say.
   */
  readonly coldRemaining?: Milliseconds;
  /** Version of the replica's software; absent when the entry has none. */
  readonly software?: string;
  /** Weight version by model. */
  readonly weights: ReadonlyMap<string, number>;
}

/** Entries without a software version count as one of their own. */
export function softwareOf({ software = "" }: ReplicaEntry): string {
  return software;
}

/** Software versions of the replicas of a service, in whatever state. */
export function listSoftware(
  replicas: readonly Replica[],
  service: string,
): ReadonlySet<string> {
  const own = replicas.filter(({ entry }) => entry.service === service);
  return new Set(own.map(({ entry }) => softwareOf(entry)));
}

export type ReplicaChange =
  | "added"
  | "leaving"
  | "gone"
  | "restarted"
  | "weights";

export interface Replica {
  readonly entry: ReplicaEntry;
  /** Time until which the replica gets no requests, on the monotonic clock. */
  readonly avoidedUntil: Milliseconds;
  /** Number of consecutive failures. */
  readonly failures: number;
  /** Weight version by model: the newest that the list or a response named. */
  readonly weights: ReadonlyMap<string, number>;
}

interface ReplicaRecord extends Replica {
  entry: ReplicaEntry;
  avoidedUntil: Milliseconds;
  failures: number;
  weights: Map<string, number>;
}

/**
 * Avoidance after the first failure; it doubles with each consecutive failure.
 */
const INITIAL_AVOIDANCE: Milliseconds = 250;
const MAX_AVOIDANCE: Milliseconds = 3_000;

/**
 * Delay before a replica is dropped that is missing from the list after an
 * outage, or from an older copy of it. Live replicas are listed again within two
 * seconds.
 */
const REMOVAL_GRACE: Milliseconds = 2_500;

/**
 * A replica that has sent nothing for `MAX_SILENCE` beyond the expected time
 * since a request was sent to it gets no more requests. It is tried again
 * `SILENCE_RETRY_AFTER` later.
 */
const MAX_SILENCE: Milliseconds = 900;
const SILENCE_RETRY_AFTER: Milliseconds = 3_100;

/**
 * Minimum outage of the list after which missing entries get a grace period. No
 * entry of a live replica expires in a shorter outage.
 */
const MIN_OUTAGE: Milliseconds = 2_500;

export abstract class ReplicaTable {
  /** Replaces the whole list. */
  abstract replaceAll(entries: readonly ReplicaEntry[]): void;
  abstract put(entry: ReplicaEntry): void;
  abstract remove(id: string): void;
  /** Records that the list has been read. */
  abstract recordListRead(): void;
  /**
   * Records that a list follows which another daemon has read at some time.
   * Entries that it lacks get a grace period as after a read.
   */
  abstract recordListTaken(): void;
  /**
   * Records that the list comes from an older copy from now on, so that entries
   * which it lacks get a grace period.
   */
  abstract recordListReturn(): void;
  /**
   * Replicas that accept requests. Avoided and unresponsive replicas are
   * included only when no other is left, and then for a short time also one that
   * has said that it leaves. While all others push back, those that were only
   * busy are included. With a software version or a check, only replicas that
   * meet it are considered, also as a last resort.
   */
  abstract usable(
    service: string,
    software?: string,
    isEligible?: (entry: ReplicaEntry) => boolean,
  ): readonly Replica[];
  /** True when the list or the replica itself says that it leaves. */
  abstract isLeaving(entry: ReplicaEntry): boolean;
  abstract find(id: string): Replica | undefined;
  abstract all(): readonly Replica[];
  abstract recordSuccess(id: string): void;
  /**
   * Records that a request has been sent to the replica, which is expected to
   * send nothing for a time, because it prefills a prompt.
   */
  abstract recordSent(id: string, expected?: Milliseconds): void;
  /**
   * Ids of the replicas that have sent nothing since a request was sent to
   * them.
   */
  abstract silent(): readonly string[];
  /**
   * Records that data has been received from the replica, of an attempt that
   * began at `since`; by default it began now.
   */
  abstract recordReceived(id: string, since?: Milliseconds): void;
  /** Time since data was last received from the replica. */
  abstract silence(id: string): Milliseconds;
  /** Records that the replica did not respond, or broke off its response. */
  abstract recordFailure(id: string): void;
  /** Forgets all failures and silences, as they were not the replicas' own. */
  abstract forgiveAll(): void;
  /** Sends no requests to the replica for the duration, because it is busy. */
  abstract avoid(id: string, duration: Milliseconds): void;
  abstract recordWeights(id: string, model: string, version: number): void;
  /** Sets the version, also when it is lower than the recorded one. */
  abstract correctWeights(id: string, model: string, version: number): void;
}

export interface ReplicaTableOptions {
  readonly clock: Clock;
  readonly onChange: (change: ReplicaChange, replica: Replica) => void;
  /** Called when data has been received from a replica. */
  readonly onReceived?: (id: string, since: Milliseconds) => void;
  /** Called when a replica becomes unresponsive, with how long it was silent. */
  readonly onSilent?: (entry: ReplicaEntry, silence: Milliseconds) => void;
  /**
   * Time since which the replica is known to have said that it leaves, whatever
   * the list says; undefined when it has not.
   */
  readonly leavingSince?: (entry: ReplicaEntry) => Milliseconds | undefined;
  /** True while the replica wants no requests from this daemon. */
  readonly isPushingBack?: (entry: ReplicaEntry) => boolean;
  /** Time for which a replica that leaves may still get requests. */
  readonly drainLimit?: () => Milliseconds;
}

/**
 * Share of the limit for which a replica that leaves gets requests when no other
 * one is left. The rest is for requests that wait.
 */
const LAST_RESORT_SHARE = 0.4;

export function createReplicaTable(
  {
    clock,
    onChange,
    onReceived = () => {},
    onSilent = () => {},
    leavingSince = () => undefined,
    isPushingBack = () => false,
    drainLimit = () => 0,
  }: ReplicaTableOptions,
): ReplicaTable {
  const replicas = new Map<string, ReplicaRecord>();
  const lastReceived = new Map<string, Milliseconds>();
  /**
   * Time at which a replica becomes unresponsive that has received requests and
   * sent nothing since.
   */
  const unanswered = new Map<string, Milliseconds>();
  /** Ids whose present silence has been reported. */
  const reportedSilent = new Set<string>();

  function isUnresponsive(id: string): boolean {
    const limit = unanswered.get(id);
    if (limit === undefined) return false;
    const excess = clock.monotonic() - limit;
    if (excess >= 0) reportSilence(id, excess + MAX_SILENCE);
    if (excess >= SILENCE_RETRY_AFTER) {
      unanswered.delete(id);
      reportedSilent.delete(id);
    }
    return excess >= 0 && excess < SILENCE_RETRY_AFTER;
  }

  function reportSilence(id: string, silence: Milliseconds): void {
    const known = replicas.get(id);
    if (known === undefined || reportedSilent.has(id)) return;
    reportedSilent.add(id);
    onSilent(known.entry, silence);
  }
  /** End of the grace period of removed entries, by replica id. */
  const removals = new Map<string, Milliseconds>();
  let lastListRead: Milliseconds = clock.monotonic();
  let graceUntil: Milliseconds = -Infinity;

  function put(entry: ReplicaEntry): void {
    removals.delete(entry.id);
    const known = replicas.get(entry.id);
    const isRestart = known !== undefined &&
      (known.entry.born !== entry.born ||
        known.entry.address !== entry.address);
    if (known === undefined || isRestart) {
      const state: ReplicaRecord = {
        entry,
        avoidedUntil: -Infinity,
        failures: 0,
        weights: new Map(entry.weights),
      };
      replicas.set(entry.id, state);
      onChange(isRestart ? "restarted" : "added", state);
      return;
    }
    const wasReady = known.entry.state === "ready";
    known.entry = entry;
    if (wasReady && entry.state === "leaving") onChange("leaving", known);
    for (const [model, version] of entry.weights) {
      raiseWeights(known, model, version);
    }
  }

  // Versions only rise, and the list lags behind the responses.
  function raiseWeights(
    state: ReplicaRecord,
    model: string,
    version: number,
  ): void {
    if ((state.weights.get(model) ?? 0) >= version) return;
    state.weights.set(model, version);
    onChange("weights", state);
  }

  function drop(id: string): void {
    const known = replicas.get(id);
    removals.delete(id);
    if (known === undefined) return;
    replicas.delete(id);
    lastReceived.delete(id);
    unanswered.delete(id);
    reportedSilent.delete(id);
    onChange("gone", known);
  }

  function remove(id: string): void {
    if (!replicas.has(id)) return;
    // The entry of a live replica can expire while the list is unavailable.
    if (clock.monotonic() < graceUntil) removals.set(id, graceUntil);
    else drop(id);
  }

  /** True when the entry is missing for good; it is dropped at the next read. */
  function isRemoved(id: string): boolean {
    return removals.size > 0 &&
      clock.monotonic() >= (removals.get(id) ?? Infinity);
  }

  function grantGrace(): void {
    const now = clock.monotonic();
    if (now - lastListRead > MIN_OUTAGE) graceUntil = now + REMOVAL_GRACE;
  }

  function dropExpiredRemovals(): void {
    if (removals.size === 0) return;
    const now = clock.monotonic();
    for (const [id, until] of removals) if (now >= until) drop(id);
  }

  return new (class extends ReplicaTable {
    override replaceAll(entries: readonly ReplicaEntry[]): void {
      const present = new Set(entries.map((entry) => entry.id));
      for (const id of [...replicas.keys()]) if (!present.has(id)) remove(id);
      for (const entry of entries) put(entry);
    }

    override put(entry: ReplicaEntry): void {
      put(entry);
    }

    override remove(id: string): void {
      remove(id);
    }

    override recordListRead(): void {
      grantGrace();
      lastListRead = clock.monotonic();
      dropExpiredRemovals();
    }

    override recordListTaken(): void {
      // The other daemon may have read it before the end of the outage, so that
      // the next read is still the first one after it.
      grantGrace();
    }

    override recordListReturn(): void {
      graceUntil = clock.monotonic() + REMOVAL_GRACE;
    }

    override usable(
      service: string,
      software?: string,
      isEligible: (entry: ReplicaEntry) => boolean = () => true,
    ): readonly Replica[] {
      const now = clock.monotonic();
      const ready = [...replicas.values()].filter(({ entry }) =>
        entry.service === service && entry.state === "ready" &&
        (software === undefined || softwareOf(entry) === software) &&
        !isRemoved(entry.id) && isEligible(entry)
      );
      const staying = ready.filter(({ entry }) =>
        leavingSince(entry) === undefined
      );
      if (staying.length === 0) {
        const oldest = now - drainLimit() * LAST_RESORT_SHARE;
        return ready.filter(({ entry }) =>
          (leavingSince(entry) ?? -Infinity) > oldest
        );
      }
      const healthy = staying.filter(({ avoidedUntil, entry }) =>
        avoidedUntil <= now && !isUnresponsive(entry.id)
      );
      const pushingBack = staying.filter(({ entry }) => isPushingBack(entry));
      if (pushingBack.length === 0) {
        return healthy.length > 0 ? healthy : staying;
      }
      if (healthy.some((replica) => !pushingBack.includes(replica))) {
        return healthy;
      }
      // A request is better off waiting than at a replica that fails.
      const working = staying.filter(({ failures, entry }) =>
        failures === 0 && !isUnresponsive(entry.id)
      );
      return working.length > 0 ? working : staying;
    }

    override isLeaving(entry: ReplicaEntry): boolean {
      return entry.state === "leaving" || leavingSince(entry) !== undefined;
    }

    override find(id: string): Replica | undefined {
      return replicas.get(id);
    }

    override all(): readonly Replica[] {
      return [...replicas.values()];
    }

    override recordSent(id: string, expected: Milliseconds = 0): void {
      if (!replicas.has(id) || isUnresponsive(id)) return;
      const limit = clock.monotonic() + MAX_SILENCE + expected;
      const known = unanswered.get(id);
      if (known === undefined) unanswered.set(id, limit);
      // A replica answers short requests only after the prefill of a long one.
      else if (expected > 0) unanswered.set(id, Math.max(known, limit));
    }

    override silent(): readonly string[] {
      return [...unanswered.keys()].filter(isUnresponsive);
    }

    override recordReceived(
      id: string,
      since: Milliseconds = clock.monotonic(),
    ): void {
      onReceived(id, since);
      unanswered.delete(id);
      reportedSilent.delete(id);
      if (replicas.has(id)) lastReceived.set(id, clock.monotonic());
    }

    override silence(id: string): Milliseconds {
      return clock.monotonic() - (lastReceived.get(id) ?? -Infinity);
    }

    override recordSuccess(id: string): void {
      const known = replicas.get(id);
      if (known === undefined || known.failures === 0) return;
      known.failures = 0;
      known.avoidedUntil = -Infinity;
    }

    override recordFailure(id: string): void {
      const known = replicas.get(id);
      if (known === undefined) return;
      const avoidance = INITIAL_AVOIDANCE * 2 ** known.failures;
      known.failures += 1;
      known.avoidedUntil = clock.monotonic() +
        Math.min(MAX_AVOIDANCE, avoidance);
    }

    override forgiveAll(): void {
      unanswered.clear();
      reportedSilent.clear();
      for (const known of replicas.values()) {
        known.failures = 0;
        known.avoidedUntil = -Infinity;
      }
    }

    override avoid(id: string, duration: Milliseconds): void {
      const known = replicas.get(id);
      if (known === undefined) return;
      const until = clock.monotonic() + duration;
      known.avoidedUntil = Math.max(known.avoidedUntil, until);
    }

    override recordWeights(id: string, model: string, version: number): void {
      const known = replicas.get(id);
      if (known !== undefined) raiseWeights(known, model, version);
    }

    override correctWeights(id: string, model: string, version: number): void {
      const known = replicas.get(id);
      if (known === undefined || known.weights.get(model) === version) return;
      known.weights.set(model, version);
      onChange("weights", known);
    }
  })();
}
