/**
 * The known state of each peer of the availability zone, from its heartbeats.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { DatagramHeader, Heartbeat, Rejection } from "./datagram.ts";
import { compareIncarnations } from "./incarnation.ts";
import type { RunningTime } from "./running_time.ts";

/** Consecutive missed heartbeat intervals (docs/design.md, section 8). */
const SUSPECT_AFTER_INTERVALS = 3;
const DEAD_AFTER_INTERVALS = 5;

/** Time of silence for which a dead peer is still listed and probed. */
const FORGET_AFTER: Milliseconds = 5 * 60_000;

/** Names whose highest sequence number is kept to detect replays. */
const MAX_REMEMBERED_NAMES = 2_000;

export type PeerState = "live" | "suspect" | "dead" | "leaving";

export interface Peer {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
  readonly state: PeerState;
  readonly version: number;
  /** Time since the last heartbeat, in running time of this process. */
  readonly silence: Milliseconds;
}

interface Entry extends Omit<Peer, "silence"> {
  readonly draining: boolean;
  readonly interval: Milliseconds;
  /** In running time of this process. */
  readonly lastHeardAt: Milliseconds;
}

export type PeerChange =
  | {
    readonly kind: "live" | "suspect" | "dead" | "leaving" | "restarted";
    readonly peer: Peer;
  }
  | { readonly kind: "forgotten"; readonly peer: Peer };

/** The known incarnation of a peer that restarted with a lower one. */
export interface Correction {
  readonly address: string;
  readonly incarnation: string;
}

export interface PeerTable {
  /** Records a heartbeat and returns the changes that it caused. */
  accept(
    heartbeat: Heartbeat,
    from: string,
  ): Result<readonly PeerChange[], Rejection>;
  /** Updates states by silence; returns the changes since the last check. */
  checkSilence(): readonly PeerChange[];
  list(): readonly Peer[];
  find(name: string): Peer | undefined;
  /** Peers that sent an older incarnation than the known one, by name. */
  outdated(): ReadonlyMap<string, Correction>;
  clearOutdated(): void;
}

export function createPeerTable(time: RunningTime, options: {
  /** True when the VM list has the address as leaving permanently. */
  readonly isLeaving: (address: string) => boolean;
}): PeerTable {
  const entries = new Map<string, Entry>();
  const replayGuard = createReplayGuard();
  const outdated = new Map<string, Correction>();

  function toPeer(entry: Entry): Peer {
    const { name, address, incarnation, state, version } = entry;
    const silence = time.now() - entry.lastHeardAt;
    return { name, address, incarnation, state, version, silence };
  }

  function toEntry(heartbeat: Heartbeat, from: string): Entry {
    const { name, incarnation, version, draining, interval } = heartbeat;
    const state = draining ? "leaving" : "live";
    const lastHeardAt = time.now();
    return {
      ...{ name, incarnation, version, draining, interval },
      ...{ address: from, state, lastHeardAt: lastHeardAt },
    };
  }

  function accept(
    heartbeat: Heartbeat,
    from: string,
  ): Result<readonly PeerChange[], Rejection> {
    const { name } = heartbeat;
    const checked = replayGuard.check(name, heartbeat);
    if (checked.isErr()) {
      const known = replayGuard.incarnation(name);
      const isOld = checked.error === "old incarnation";
      if (isOld && known !== undefined) {
        outdated.set(name, { address: from, incarnation: known });
      }
      return checked;
    }
    replayGuard.record(name, heartbeat);
    outdated.delete(name);
    const previous = entries.get(name);
    const entry = toEntry(heartbeat, from);
    const displaced = removeReplaced(from, name);
    entries.set(name, entry);
    return Ok([...displaced, ...compareEntries(previous, entry)]);
  }

  /** Removes peers whose address has a new name: their VM was replaced. */
  function removeReplaced(address: string, name: string) {
    const others = [...entries.values()].filter((entry) =>
      entry.address === address && entry.name !== name
    );
    for (const other of others) entries.delete(other.name);
    return others.flatMap((other): readonly PeerChange[] => {
      const peer = toPeer({ ...other, state: "dead" });
      const forgotten = { kind: "forgotten", peer } as const;
      return other.state === "dead"
        ? [forgotten]
        : [{ kind: "dead", peer }, forgotten];
    });
  }

  function compareEntries(
    previous: Entry | undefined,
    entry: Entry,
  ): readonly PeerChange[] {
    const peer = toPeer(entry);
    const kind = entry.draining ? "leaving" : "live";
    if (previous === undefined) return [{ kind, peer }];
    const changes: PeerChange[] = [];
    if (previous.incarnation !== entry.incarnation) {
      changes.push({ kind: "restarted", peer });
    }
    if (previous.state !== entry.state) changes.push({ kind, peer });
    return changes;
  }

  function checkEntry(entry: Entry): PeerChange | undefined {
    const silence = time.now() - entry.lastHeardAt;
    const missedIntervals = silence / entry.interval;
    if (missedIntervals >= DEAD_AFTER_INTERVALS && entry.state !== "dead") {
      return updateEntry({ ...entry, state: "dead" }, "dead");
    }
    if (missedIntervals >= SUSPECT_AFTER_INTERVALS && entry.state === "live") {
      return updateEntry({ ...entry, state: "suspect" }, "suspect");
    }
    const isGone = entry.draining || silence >= FORGET_AFTER ||
      options.isLeaving(entry.address);
    if (entry.state !== "dead" || !isGone) return undefined;
    entries.delete(entry.name);
    return { kind: "forgotten", peer: toPeer(entry) };
  }

  function updateEntry(entry: Entry, kind: "dead" | "suspect"): PeerChange {
    entries.set(entry.name, entry);
    return { kind, peer: toPeer(entry) };
  }

  return {
    accept,
    checkSilence: () =>
      [...entries.values()].flatMap((entry) => checkEntry(entry) ?? []),
    list: () => [...entries.values()].map(toPeer),
    find(name) {
      const entry = entries.get(name);
      return entry && toPeer(entry);
    },
    outdated: () => outdated,
    clearOutdated: () => outdated.clear(),
  };
}

export interface ReplayGuard {
  /** Checks that the datagram is newer than the recorded one of the name. */
  check(
    name: string,
    header: DatagramHeader,
  ): Result<void, "replayed" | "old incarnation">;
  record(name: string, header: DatagramHeader): void;
  /** Incarnation of the newest recorded datagram. */
  incarnation(name: string): string | undefined;
}

/** Keeps the newest datagram of each name, even after the peer is removed. */
export function createReplayGuard(): ReplayGuard {
  const newest = new Map<string, DatagramHeader>();

  return {
    check(name, header) {
      const previous = newest.get(name);
      if (previous === undefined) return Ok(undefined);
      const order = compareIncarnations(
        header.incarnation,
        previous.incarnation,
      );
      if (order < 0) return Err("old incarnation");
      const isReplay = order === 0 && header.sequence <= previous.sequence;
      return isReplay ? Err("replayed") : Ok(undefined);
    },
    record(name, header) {
      newest.delete(name);
      newest.set(name, header);
      const [oldest] = newest.keys();
      if (newest.size > MAX_REMEMBERED_NAMES && oldest !== undefined) {
        newest.delete(oldest);
      }
    },
    incarnation: (name) => newest.get(name)?.incarnation,
  };
}
