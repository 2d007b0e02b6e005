/**
 * Recognizes that this daemon reaches no replica although its neighbors do. Its
 * own silence alone does not show that: the replicas may be paused or down for
 * everyone. Requests are better refused at once then, so that their callers come
 * back to another daemon, and the replicas are not blamed.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds } from "@peridotvalve/types";

export interface ReplicaContact {
  /** Records data from any replica. */
  recordReceived(): void;
  /**
   * Time since the last data here or in another zone, for the neighbors, of whom
   * few hear of other zones; undefined before the first.
   */
  age(): Milliseconds | undefined;
  /**
   * Time since the last data here or at a neighbor, for other zones; undefined
   * before the first.
   */
  zoneAge(): Milliseconds | undefined;
  /** Records that a neighbor had or heard of data from a replica `age` ago. */
  recordPeerReceived(age: Milliseconds): void;
  /** Records that a daemon of another zone had data `age` ago. */
  recordZoneReceived(age: Milliseconds): void;
  /**
   * Returns true when the replicas should be probed, given the number of those
   * that have left requests of this daemon without any data.
   */
  mayBeLost(silent: number): boolean;
  /** Records a probe that no replica answered. */
  recordFailedProbe(): void;
  /** True from a failed probe until data arrives, or neighbors have none. */
  isLost(): boolean;
}

/** Silence of all replicas after which they are probed. */
const MAX_SILENCE: Milliseconds = 900;

/** One silent replica is more likely to have failed itself. */
const MIN_SILENT = 2;

/**
 * Time by which the data of a neighbor must be newer than the last data here.
 * Replicas that pause together fall silent for all daemons within it.
 */
const MIN_LEAD: Milliseconds = 600;

/** Age of a neighbor's data beyond which it shows nothing any more. */
const MAX_PEER_AGE: Milliseconds = 1_500;

export function createReplicaContact(clock: Clock): ReplicaContact {
  let lastReceived = -Infinity;
  let neighborReceived = -Infinity;
  let zoneReceived = -Infinity;
  let hasFailed = false;

  const peerReceived = () => Math.max(neighborReceived, zoneReceived);
  const ageOf = (at: Milliseconds) =>
    at === -Infinity ? undefined : clock.monotonic() - at;

  return {
    recordReceived() {
      lastReceived = clock.monotonic();
      hasFailed = false;
    },
    age: () => ageOf(Math.max(lastReceived, zoneReceived)),
    zoneAge: () => ageOf(Math.max(lastReceived, neighborReceived)),
    recordPeerReceived(age) {
      neighborReceived = Math.max(neighborReceived, clock.monotonic() - age);
    },
    recordZoneReceived(age) {
      zoneReceived = Math.max(zoneReceived, clock.monotonic() - age);
    },
    mayBeLost(silent) {
      return silent >= MIN_SILENT &&
        clock.monotonic() - lastReceived > MAX_SILENCE &&
        peerReceived() - lastReceived > MIN_LEAD;
    },
    recordFailedProbe() {
      hasFailed = true;
    },
    isLost() {
      return hasFailed && clock.monotonic() - peerReceived() < MAX_PEER_AGE;
    },
  };
}
