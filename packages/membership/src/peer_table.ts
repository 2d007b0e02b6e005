/**
 * What is known of each peer of the availability zone, from heartbeats.
 */
import type { Milliseconds } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { Announcement, Heartbeat, Rejection } from "./datagram.ts";
import { compareIncarnations } from "./incarnation.ts";
import type { RunningTime } from "./running_time.ts";

/** Heartbeats in a row that a peer may miss (docs/design.md, section 8). */
const SUSPECT_AFTER = 3;
const DEAD_AFTER = 5;

/** Time for which a dead peer is still shown and probed. */
const FORGET_AFTER: Milliseconds = 5 * 60_000;

/** Names whose highest sequence number is kept against replays. */
const MAX_REMEMBERED = 2_000;

export type PeerState = "live" | "suspect" | "dead" | "leaving";

export interface Peer {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
  readonly state: PeerState;
  readonly version: number;
  /** Silence while this process was running. */
  readonly silence: Milliseconds;
}

interface Entry extends Omit<Peer, "silence"> {
  readonly draining: boolean;
  readonly interval: Milliseconds;
  readonly heard: Milliseconds;
}

export type PeerChange =
  | {
    readonly kind: "live" | "suspect" | "dead" | "leaving" | "restarted";
    readonly peer: Peer;
  }
  | { readonly kind: "forgotten"; readonly peer: Peer };

/** What a restarted peer with a lower incarnation needs to be told. */
export interface Correction {
  readonly address: string;
  readonly incarnation: string;
}

export interface PeerTable {
  /** Takes a heartbeat over; the changes are those that it caused. */
  accept(
    heartbeat: Heartbeat,
    from: string,
  ): Result<readonly PeerChange[], Rejection>;
  /** Judges silence; the changes are the transitions since the last time. */
  judge(): readonly PeerChange[];
  list(): readonly Peer[];
  find(name: string): Peer | undefined;
  /** Peers that sent an older incarnation than the one held, by name. */
  outdated(): ReadonlyMap<string, Correction>;
  clearOutdated(): void;
}

export function createPeerTable(time: RunningTime, options: {
  /** True when the VM list has the address as leaving for good. */
  readonly isLeaving: (address: string) => boolean;
}): PeerTable {
  const entries = new Map<string, Entry>();
  const guard = createReplayGuard();
  const outdated = new Map<string, Correction>();

  function toPeer(entry: Entry): Peer {
    const { name, address, incarnation, state, version } = entry;
    const silence = time.now() - entry.heard;
    return { name, address, incarnation, state, version, silence };
  }

  function toEntry(heartbeat: Heartbeat, from: string): Entry {
    const { name, incarnation, version, draining, interval } = heartbeat;
    const state = draining ? "leaving" : "live";
    const heard = time.now();
    return {
      ...{ name, incarnation, version, draining, interval },
      ...{ address: from, state, heard },
    };
  }

  function accept(
    heartbeat: Heartbeat,
    from: string,
  ): Result<readonly PeerChange[], Rejection> {
    const { name } = heartbeat;
    const checked = guard.check(name, heartbeat);
    if (checked.isErr()) {
      const known = guard.incarnation(name);
      const isOld = checked.error === "old incarnation";
      if (isOld && known !== undefined) {
        outdated.set(name, { address: from, incarnation: known });
      }
      return checked;
    }
    guard.note(name, heartbeat);
    outdated.delete(name);
    const previous = entries.get(name);
    const entry = toEntry(heartbeat, from);
    const displaced = removeOthersAt(from, name);
    entries.set(name, entry);
    return Ok([...displaced, ...compareEntries(previous, entry)]);
  }

  /** A new name at the address of another one: the VM was replaced. */
  function removeOthersAt(address: string, name: string) {
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

  function judgeEntry(entry: Entry): PeerChange | undefined {
    const silence = time.now() - entry.heard;
    const missed = silence / entry.interval;
    if (missed >= DEAD_AFTER && entry.state !== "dead") {
      return change({ ...entry, state: "dead" }, "dead");
    }
    if (missed >= SUSPECT_AFTER && entry.state === "live") {
      return change({ ...entry, state: "suspect" }, "suspect");
    }
    const isGone = entry.draining || silence >= FORGET_AFTER ||
      options.isLeaving(entry.address);
    if (entry.state !== "dead" || !isGone) return undefined;
    entries.delete(entry.name);
    return { kind: "forgotten", peer: toPeer(entry) };
  }

  function change(entry: Entry, kind: "dead" | "suspect"): PeerChange {
    entries.set(entry.name, entry);
    return { kind, peer: toPeer(entry) };
  }

  return {
    accept,
    judge: () =>
      [...entries.values()].flatMap((entry) => judgeEntry(entry) ?? []),
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
  check(
    name: string,
    announcement: Announcement,
  ): Result<void, "replayed" | "old incarnation">;
  note(name: string, announcement: Announcement): void;
  incarnation(name: string): string | undefined;
}

/** Remembers the newest datagram of each name, also after the peer is gone. */
export function createReplayGuard(): ReplayGuard {
  const newest = new Map<string, Announcement>();

  return {
    check(name, announcement) {
      const held = newest.get(name);
      if (held === undefined) return Ok(undefined);
      const order = compareIncarnations(
        announcement.incarnation,
        held.incarnation,
      );
      if (order < 0) return Err("old incarnation");
      const isReplay = order === 0 && announcement.sequence <= held.sequence;
      return isReplay ? Err("replayed") : Ok(undefined);
    },
    note(name, announcement) {
      newest.delete(name);
      newest.set(name, announcement);
      const [oldest] = newest.keys();
      if (newest.size > MAX_REMEMBERED && oldest !== undefined) {
        newest.delete(oldest);
      }
    },
    incarnation: (name) => newest.get(name)?.incarnation,
  };
}
