/**
 * Composes the news for one datagram to other daemons and applies those of
 * others. Chooses what to tell within the size of the datagram, how often to
 * tell it, and converts times to ages and back, since daemons share no clock.
 */
import type { Bytes, Milliseconds } from "@peridotvalve/types";
import {
  compare,
  type Observations,
  rankSuspects,
} from "./crash_attribution.ts";
import {
  type Audience,
  type CrashRecord,
  DETAIL_EXPIRY,
  isUsable,
  type RecordedSuspects,
} from "./crash_records.ts";
import { groupOf } from "./suspects.ts";
import type { Proof, ProofReport } from "./suspect_proofs.ts";
import {
  holdOf,
  MAX_STRIKES,
  type SuspectVerdicts,
} from "./suspect_verdicts.ts";

/**
 * Age at which a crash record is told to others, so that data of a live replica
 * can void it before.
 */
export const TELL_DELAY: Milliseconds = 250;

/** Minimum interval between two reports of the same suspect's proof. */
const PROOF_INTERVAL: Milliseconds = 1_000;

/**
 * A proof is told again only when it is this much newer, because the time of a
 * proof that comes back from others differs by the delays on its way.
 */
const PROOF_STEP: Milliseconds = 100;

/** Reports of a proof that no newer one replaces, as datagrams can be lost. */
const PROOF_ROUNDS = 3;

/** Suspects of one crash record in a datagram. */
export const MAX_TOLD_SUSPECTS = 64;
const MAX_TOLD_VERDICTS = 8;
const MAX_TOLD_PROOFS = 16;

const UNTOLD: ProofReport = { at: -Infinity, proof: -Infinity, rounds: 0 };

/** What daemons tell each other; all times are ages or remaining times. */
export interface CrashNews {
  readonly verdicts: readonly (readonly [
    suspect: string,
    age: Milliseconds,
    remaining: Milliseconds,
    strikes: number,
  ])[];
  readonly records: readonly (readonly [
    replica: string,
    age: Milliseconds,
    suspects: readonly string[],
  ])[];
  /** Further suspects of crashes, with the time since their answers began. */
  readonly begun?: readonly (readonly [
    replica: string,
    age: Milliseconds,
    suspects: readonly (readonly [suspect: string, begunFor: Milliseconds])[],
  ])[];
  /** Newest proofs that suspects are sound. */
  readonly proofs: readonly (readonly [suspect: string, age: Milliseconds])[];
}

export interface CrashDigestOptions extends Observations {
  readonly verdicts: SuspectVerdicts;
  /** Called for each crash of which a peer tells something new. */
  readonly onCrash: (crash: CrashRecord) => void;
}

export abstract class CrashDigest {
  /**
   * Takes the news for one datagram, at most `limit` bytes of JSON, and counts
   * them as told to the audience.
   */
  abstract compose(limit: Bytes, audience: Audience): CrashNews | undefined;
  abstract apply(news: CrashNews): void;
}

export function createCrashDigest(options: CrashDigestOptions): CrashDigest {
  const { clock, records, proofs, verdicts } = options;

  function listProofs(audience: Audience): CrashNews["proofs"] {
    const now = clock.monotonic();
    const condemned = verdicts.list().map(({ suspect }) => suspect);
    const named = new Set([...condemned, ...records.listSuspects(1)]);
    const isCondemned = (suspect: string) =>
      verdicts.find(suspect) !== undefined;
    const due: (readonly [string, Proof])[] = [];
    for (const suspect of named) {
      const proof = proofs.find(suspect);
      if (proof === undefined) continue;
      const told = proof.told?.[audience] ?? UNTOLD;
      if (now - told.at < PROOF_INTERVAL) continue;
      const isNew = proof.at - told.proof >= PROOF_STEP;
      if (isNew || told.rounds < PROOF_ROUNDS) due.push([suspect, proof]);
    }
    due.sort(([suspect, a], [other, b]) =>
      Number(isCondemned(other)) - Number(isCondemned(suspect)) ||
      records.count(other) - records.count(suspect) ||
      compare(
        (a.told?.[audience] ?? UNTOLD).at,
        (b.told?.[audience] ?? UNTOLD).at,
      )
    );
    return due.slice(0, MAX_TOLD_PROOFS)
      .map(([suspect, { at }]) => [suspect, Math.ceil(now - at)] as const);
  }

  function listVerdicts(): CrashNews["verdicts"] {
    const now = clock.monotonic();
    return verdicts.list().filter(({ until }) => until > now)
      .sort((a, b) => b.since - a.since)
      .slice(0, MAX_TOLD_VERDICTS)
      .map(({ suspect, since, until, strikes }) =>
        [
          suspect,
          Math.floor(now - since),
          Math.floor(until - now),
          strikes,
        ] as const
      );
  }

  /**
   * Suspects of several crashes first, then those told least often: a datagram
   * may have no room for all requests that were on a replica.
   */
  function orderToTell(record: CrashRecord, audience: Audience): string[] {
    const told = record.told[audience];
    const roundsOf = (suspect: string) =>
      records.count(suspect) > 1 ? -1 : told.get(suspect) ?? 0;
    return rankSuspects(options, record)
      .sort((a, b) => roundsOf(a) - roundsOf(b));
  }

  function isDue(record: CrashRecord, audience: Audience): boolean {
    return record.voidedAt === undefined && record.roundsLeft[audience] > 0 &&
      (record.isFromPeer ||
        clock.monotonic() - record.notedAt >= TELL_DELAY);
  }

  return new (class extends CrashDigest {
    override compose(limit: Bytes, audience: Audience): CrashNews | undefined {
      const now = clock.monotonic();
      const empty = { verdicts: [], records: [], proofs: [], begun: [] };
      let left = limit - measure(empty);
      const take = <Item>(items: readonly Item[]): Item[] => {
        const taken: Item[] = [];
        for (const item of items) {
          const size = measure(item) + 1;
          if (size > left) continue;
          left -= size;
          taken.push(item);
        }
        return taken;
      };
      const toldVerdicts = take(listVerdicts());
      const told: CrashNews["records"][number][] = [];
      const begun: NonNullable<CrashNews["begun"]>[number][] = [];
      const due = records.list().filter((record) => isDue(record, audience))
        .sort((a, b) => b.roundsLeft[audience] - a.roundsLeft[audience]);
      for (const [index, record] of due.entries()) {
        const kept = left;
        // Each record gets its share of the space, so that crashes of other
        // replicas are known even when one ended under many requests.
        left = Math.floor(left / (due.length - index));
        const spare = kept - left;
        if (takeRecord(record)) record.roundsLeft[audience] -= 1;
        left += spare;
      }
      /** Takes a record's suspects; returns true if there was room for any. */
      function takeRecord(record: CrashRecord): boolean {
        const { replica } = record;
        const age = Math.floor(now - record.at);
        const base = measure([replica, age, []]) + 1;
        const early: string[] = [];
        const late: (readonly [string, Milliseconds])[] = [];
        const rounds = record.told[audience];
        const ordered = orderToTell(record, audience);
        for (const suspect of ordered.slice(0, MAX_TOLD_SUSPECTS)) {
          const begunFor = record.begun.get(suspect);
          const item = [suspect, Math.round(begunFor ?? 0)] as const;
          const isLate = begunFor !== undefined;
          const isFirst = (isLate ? late : early).length === 0;
          const size = measure(isLate ? item : suspect) + 1;
          const cost = isFirst ? size + base : size;
          if (cost > left) continue;
          left -= cost;
          if (isLate) late.push(item);
          else early.push(suspect);
          rounds.set(suspect, (rounds.get(suspect) ?? 0) + 1);
        }
        if (early.length > 0) told.push([replica, age, early]);
        if (late.length > 0) begun.push([replica, age, late]);
        return early.length + late.length > 0;
      }
      const toldProofs = take(listProofs(audience));
      for (const [suspect] of toldProofs) {
        const proof = proofs.find(suspect);
        if (proof === undefined) continue;
        const { proof: last, rounds } = proof.told?.[audience] ?? UNTOLD;
        const isNew = proof.at - last >= PROOF_STEP;
        const report = isNew
          ? { at: now, proof: proof.at, rounds: 1 }
          : { at: now, proof: last, rounds: rounds + 1 };
        proof.told = { ...proof.told, [audience]: report };
      }
      const isSilent = [toldVerdicts, told, begun, toldProofs]
        .every(({ length }) => length === 0);
      if (isSilent) return undefined;
      return {
        ...{ verdicts: toldVerdicts, records: told, proofs: toldProofs },
        ...(begun.length > 0 && { begun }),
      };
    }

    override apply(news: CrashNews): void {
      const now = clock.monotonic();
      // Proofs first, so that no suspect is condemned that they show sound.
      for (const [suspect, age] of news.proofs) {
        if (!isUsable(suspect)) continue;
        if (proofs.recordAnswer(groupOf(suspect), now - age, [suspect])) {
          verdicts.noteAnswer();
        }
        if (proofs.recordProof(suspect, now - age)) verdicts.noteProof(suspect);
      }
      const changed: CrashRecord[] = [];
      const add = (
        replica: string,
        age: Milliseconds,
        suspects: RecordedSuspects,
      ) => {
        if (age >= DETAIL_EXPIRY) return;
        const { record, isChanged } = records.add(replica, now - age, suspects);
        if (!isChanged) return;
        options.onCrash(record);
        verdicts.noteRecords();
        record.isFromPeer = true;
        changed.push(record);
      };
      for (const [replica, age, suspects] of news.records) {
        add(replica, age, { suspects });
      }
      for (const [replica, age, begun] of news.begun ?? []) {
        add(replica, age, { suspects: [], begun });
      }
      for (const [suspect, age, remaining, told] of news.verdicts) {
        if (!isUsable(suspect) || told < 1) continue;
        const strikes = Math.min(MAX_STRIKES, told);
        verdicts.merge({
          suspect,
          strikes,
          since: now - age,
          until: now + Math.min(remaining, holdOf(strikes)),
        });
      }
      for (const record of changed) verdicts.judge(record);
    }
  })();
}

/** Size of a value as JSON. */
function measure(value: unknown): Bytes {
  return Buffer.byteLength(JSON.stringify(value));
}
