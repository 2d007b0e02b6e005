/**
 * Tells which replicas are cold: they have just started and tolerate few
 * requests. A replica is cold while its entry or a health answer says so; for
 * some time after its start where its entry does not say; and after it refused
 * or reset connections or was silent, until a later report on its state.
 *
 * The reports and suspicions of peers come and go with the statements of
 * replicas, and the newest of them counts.
 */
import type { Clock } from "@peridotvalve/clock";
import {
  type Milliseconds,
  type RequestRate,
  SECOND,
  type Timestamp,
} from "@peridotvalve/types";
import {
  type Incarnation,
  incarnationHash,
  type PacedReplica,
} from "./incarnation.ts";
import type { HeardStatement, Statements } from "./statements.ts";

/** What the operator says of the cold replicas of a service. */
export interface ColdTraits {
  /** Time after its start for which a replica is cold. */
  readonly duration: Milliseconds;
  /** Requests that a cold replica tolerates from all daemons together. */
  readonly rate: RequestRate;
}

/** What the entry of a replica says of its state. */
export interface ColdEntry extends PacedReplica {
  /** Time for which the replica stays cold; absent when it does not say. */
  readonly coldRemaining?: Milliseconds;
}

export interface Coldness {
  readonly rate: RequestRate;
  /** Time since which this daemon takes the replica for cold. */
  readonly since: Milliseconds;
  /** Time at which the replica is warm at the latest, as far as is known. */
  readonly until: Milliseconds;
}

export abstract class ColdReplicas {
  /** Returns undefined when the replica is not cold. */
  abstract find(replica: ColdEntry): Coldness | undefined;
  /** Returns true when some replica has lately been found cold. */
  abstract isAnyCold(): boolean;
  /**
   * Records an entry. `writtenAfter` is a time after which it was written, on
   * the monotonic clock; absent when none is known.
   */
  abstract recordEntry(replica: ColdEntry, writtenAfter?: Milliseconds): void;
  /** Returns true while a suspicion waits for a report on the replica. */
  abstract isAwaited(replica: ColdEntry): boolean;
  /** Records a health answer to a request that was sent at `askedAt`. */
  abstract recordHealth(
    replica: ColdEntry,
    remaining: Milliseconds,
    askedAt: Milliseconds,
  ): void;
  /**
   * Records that the replica refused or reset a connection, or was silent for a
   * time, and may have restarted.
   */
  abstract suspect(replica: ColdEntry, silence?: Milliseconds): void;
  /** Records data of an attempt at the replica that began at `since`. */
  abstract recordReceived(id: string, since: Milliseconds): void;
}

export type ColdReason = "entry" | "unknown" | "suspect" | "report";

export interface ColdReplicasOptions {
  readonly clock: Clock;
  readonly statements: Pick<Statements, "find" | "note">;
  /** Undefined when replicas of the service are never cold. */
  readonly traitsOf: (service: string) => ColdTraits | undefined;
  readonly onCold?: (
    replica: ColdEntry,
    coldness: Coldness & { readonly reason: ColdReason },
  ) => void;
  readonly onWarm?: (replica: ColdEntry, elapsed: Milliseconds) => void;
  /** Called when this daemon begins to suspect a replica. */
  readonly onSuspect?: (replica: ColdEntry, silence: Milliseconds) => void;
}

/** No replica takes longer to become warm; a wrong value ends sometime. */
const MAX_COLD_TIME: Milliseconds = 3_600_000;

/** Placements look at the replicas more often. */
const RECENT: Milliseconds = 1_000;

/**
 * No process ends and is back within this time, which an attempt may also wait
 * for its connection.
 */
const MIN_RESTART_TIME: Milliseconds = 200;

/**
 * Error of the time of a suspicion or of data: the way of a peer's datagram, and
 * a busy process that reads what had arrived before the end of the replica.
 */
const TIME_ERROR: Milliseconds = 100;

/** More replicas than a fleet has; the oldest are dropped. */
const MAX_REPLICAS = 2_000;

interface EntryRecord {
  readonly remaining: Milliseconds | undefined;
  readonly receivedAt: Milliseconds;
  /** Time of receipt on the wall clock, to which `born` is compared. */
  readonly receivedTime: Timestamp;
  readonly writtenAfter: Milliseconds;
}

/** Time within which the process of a replica has answered. */
interface Life {
  from: Milliseconds;
  to: Milliseconds;
}

/** The first data of a replica after a time. */
interface Awaited {
  readonly after: Milliseconds;
  heardAt?: Milliseconds;
}

interface Verdict {
  readonly until: Milliseconds;
  readonly reason: ColdReason;
}

export function createColdReplicas(options: ColdReplicasOptions): ColdReplicas {
  const { clock, statements, traitsOf } = options;
  const { onCold = () => {}, onWarm = () => {}, onSuspect = () => {} } =
    options;
  /** By incarnation. */
  const entries = new Map<string, EntryRecord>();
  /** Time since which each cold incarnation is cold. */
  const cold = new Map<string, Milliseconds>();
  let lastCold: Milliseconds = -Infinity;
  /** By id. */
  const lives = new Map<string, Life>();
  const awaited = new Map<string, Awaited>();

  function traitsFor({ service }: PacedReplica): ColdTraits | undefined {
    return service === undefined ? undefined : traitsOf(service);
  }

  function recordEntry(
    replica: ColdEntry,
    writtenAfter: Milliseconds = -Infinity,
  ): EntryRecord {
    const key = incarnationHash(replica);
    const known = entries.get(key);
    const remaining = replica.coldRemaining;
    const latest = Math.max(writtenAfter, known?.writtenAfter ?? -Infinity);
    // A row that is read again says nothing new.
    const record = known !== undefined && known.remaining === remaining
      ? { ...known, writtenAfter: latest }
      : {
        ...{ remaining, writtenAfter: latest },
        receivedAt: clock.monotonic(),
        receivedTime: clock.now(),
      };
    if (known === undefined) {
      // What an earlier incarnation sent says nothing of this one.
      lives.delete(replica.id);
      awaited.delete(replica.id);
    }
    setBounded(entries, key, record);
    return record;
  }

  /** Time of the first data after a time; undefined while there is none. */
  function heardAfter(id: string, after: Milliseconds) {
    const known = awaited.get(id);
    if (known?.after === after) return known.heardAt;
    setBounded(awaited, id, { after });
    return undefined;
  }

  /** End of a state that is not known, counted from the next data. */
  function endUnknown(
    { id }: Incarnation,
    after: Milliseconds,
    { duration }: ColdTraits,
  ): Milliseconds {
    return (heardAfter(id, after) ?? Infinity) + duration;
  }

  function judgeEntry(
    replica: ColdEntry,
    { remaining, receivedAt, receivedTime }: EntryRecord,
    traits: ColdTraits,
  ): Verdict {
    if (remaining !== undefined) {
      // The row was written before it was received.
      const until = receivedAt + Math.min(MAX_COLD_TIME, remaining);
      return { until, reason: "entry" };
    }
    if (replica.born === undefined) {
      const until = endUnknown(replica, receivedAt, traits);
      return { until, reason: "unknown" };
    }
    const age = Math.max(0, receivedTime - replica.born);
    return { until: receivedAt + traits.duration - age, reason: "entry" };
  }

  /**
   * True when the process of the replica answered before and after the spell
   * that raised the suspicion, or within it.
   */
  function isRefuted(id: string, { value, heardAt }: HeardStatement): boolean {
    const life = lives.get(id);
    const begin = heardAt - value * SECOND;
    return life !== undefined && life.from < heardAt - TIME_ERROR &&
      life.to > begin + TIME_ERROR;
  }

  /** The suspicion that no later report has settled. */
  function openSuspicion(
    replica: ColdEntry,
    entry: EntryRecord | undefined,
  ): HeardStatement | undefined {
    const suspicion = statements.find(replica, "suspect");
    if (suspicion === undefined) return undefined;
    const reported = Math.max(
      entry?.writtenAfter ?? -Infinity,
      statements.find(replica, "cold")?.heardAt ?? -Infinity,
    );
    return suspicion.heardAt > reported ? suspicion : undefined;
  }

  function judge(replica: ColdEntry, traits: ColdTraits): Verdict {
    const entry = entries.get(incarnationHash(replica)) ?? recordEntry(replica);
    const report = statements.find(replica, "cold");
    const verdicts: Verdict[] = [];
    if (report === undefined || report.heardAt < entry.receivedAt) {
      verdicts.push(judgeEntry(replica, entry, traits));
    }
    if (report !== undefined && report.heardAt >= entry.writtenAfter) {
      const until = report.heardAt + report.value * SECOND;
      verdicts.push({ until, reason: "report" });
    }
    const suspicion = openSuspicion(replica, entry);
    if (suspicion !== undefined && !isRefuted(replica.id, suspicion)) {
      const until = endUnknown(replica, suspicion.heardAt, traits);
      verdicts.push({ until, reason: "suspect" });
    }
    return verdicts.reduce(
      (latest, verdict) => verdict.until > latest.until ? verdict : latest,
      { until: -Infinity, reason: "entry" },
    );
  }

  function find(replica: ColdEntry): Coldness | undefined {
    const traits = traitsFor(replica);
    if (traits === undefined) return undefined;
    const key = incarnationHash(replica);
    const now = clock.monotonic();
    const known = cold.get(key);
    const { until, reason } = judge(replica, traits);
    if (until <= now) {
      if (known === undefined) return undefined;
      cold.delete(key);
      onWarm(replica, now - known);
      return undefined;
    }
    const since = known ?? now;
    lastCold = now;
    const coldness = {
      ...{ rate: traits.rate, since },
      // One that has not been heard from is cold at least that long.
      until: until === Infinity ? now + traits.duration : until,
    };
    if (known === undefined) {
      setBounded(cold, key, since);
      onCold(replica, { ...coldness, reason });
    }
    return coldness;
  }

  /** Time for which the replica stays cold by its start time. */
  function timeFromBirth(replica: ColdEntry): Milliseconds | undefined {
    const traits = traitsFor(replica);
    if (traits === undefined || replica.born === undefined) return undefined;
    return Math.max(0, replica.born + traits.duration - clock.now());
  }

  /** Tells the peers for how long the replica stays cold. */
  function report(
    replica: ColdEntry,
    remaining: Milliseconds,
    heardAt: Milliseconds,
  ): void {
    const end = remaining <= 0
      ? heardAt
      : clock.monotonic() + Math.min(MAX_COLD_TIME, remaining);
    statements.note(replica, "cold", {
      value: (end - heardAt) / SECOND,
      heardAt,
    });
  }

  function isAwaited(replica: ColdEntry): boolean {
    if (traitsFor(replica) === undefined) return false;
    const entry = entries.get(incarnationHash(replica));
    return openSuspicion(replica, entry) !== undefined;
  }

  return new (class extends ColdReplicas {
    override find = find;

    override isAwaited = isAwaited;

    override isAnyCold = () => clock.monotonic() - lastCold < RECENT;

    override recordEntry(
      replica: ColdEntry,
      writtenAfter?: Milliseconds,
    ): void {
      const known = entries.get(incarnationHash(replica));
      const suspicion = openSuspicion(replica, known);
      recordEntry(replica, writtenAfter);
      if (suspicion === undefined || writtenAfter === undefined) return;
      const remaining = replica.coldRemaining ?? timeFromBirth(replica);
      if (remaining === undefined || writtenAfter < suspicion.heardAt) return;
      report(replica, remaining, writtenAfter);
    }

    override recordHealth(
      replica: ColdEntry,
      remaining: Milliseconds,
      askedAt: Milliseconds,
    ): void {
      if (traitsFor(replica) === undefined) return;
      const isNews = remaining > 0 || find(replica) !== undefined ||
        isAwaited(replica);
      if (isNews) report(replica, remaining, askedAt);
    }

    override suspect(replica: ColdEntry, silence: Milliseconds = 0): void {
      if (traitsFor(replica) === undefined) return;
      const isNew = !isAwaited(replica);
      const heardAt = clock.monotonic();
      const value = silence / SECOND;
      statements.note(replica, "suspect", { value, heardAt });
      if (isNew) onSuspect(replica, silence);
    }

    override recordReceived(id: string, since: Milliseconds): void {
      const now = clock.monotonic();
      const pending = awaited.get(id);
      if (pending !== undefined && pending.heardAt === undefined) {
        if (now > pending.after) pending.heardAt = now;
      }
      const life = lives.get(id);
      if (life === undefined) {
        setBounded(lives, id, { from: since, to: now });
        return;
      }
      const isSame = since <= life.to + MIN_RESTART_TIME;
      life.from = isSame ? Math.min(life.from, since) : since;
      life.to = now;
    }
  })();
}

/** Sets an entry and drops the oldest ones beyond `MAX_REPLICAS`. */
function setBounded<Value>(
  map: Map<string, Value>,
  key: string,
  value: Value,
): void {
  map.delete(key);
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= MAX_REPLICAS) break;
    map.delete(oldest);
  }
}
