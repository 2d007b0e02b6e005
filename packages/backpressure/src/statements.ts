/**
 * What replicas say of themselves in their answers. Each statement is kept with
 * its age and the incarnation of its replica, and the newest one counts, whether
 * this daemon or another one heard it. A statement ends when an answer no longer
 * has it, or when no daemon has heard it for `STATEMENT_EXPIRY`.
 */
import type { Clock } from "@peridotvalve/clock";
import type { Milliseconds, RequestRate } from "@peridotvalve/types";
import { type Incarnation, incarnationKey } from "./incarnation.ts";

/** What one answer says of the replica that sent it. */
export interface Statement {
  /**
   * Requests that the replica takes from all daemons together; absent when it
   * names no limit.
   */
  readonly limit?: RequestRate;
}

export type StatementKind = keyof Statement;

export interface HeardStatement {
  readonly value: number;
  /** Time of the newest answer with the statement, on the monotonic clock. */
  readonly heardAt: Milliseconds;
  /** Time since which an answer with the statement was known here. */
  readonly knownSince: Milliseconds;
}

export abstract class Statements {
  /** Records everything that one answer of the replica says of itself. */
  abstract record(replica: Incarnation, statement: Statement): void;
  /** Returns the statement in force; undefined when there is none. */
  abstract find(
    replica: Incarnation,
    kind: StatementKind,
  ): HeardStatement | undefined;
}

export interface StatementsOptions {
  readonly clock: Clock;
  /**
   * Called when a statement begins, changes or ends; its value is undefined at
   * the end.
   */
  readonly onChange?: (
    replica: Incarnation,
    kind: StatementKind,
    value: number | undefined,
  ) => void;
}

/** Time without a further answer after which a statement no longer holds. */
export const STATEMENT_EXPIRY: Milliseconds = 10_000;

/** More replicas than a fleet has; the oldest statements are dropped. */
const MAX_REPLICAS = 2_000;

const KINDS: readonly StatementKind[] = ["limit"];

type Heard = Partial<Record<StatementKind, HeardStatement>>;

export function createStatements(
  { clock, onChange = () => {} }: StatementsOptions,
): Statements {
  const heard = new Map<string, Heard>();

  function findAt(key: string, kind: StatementKind) {
    const known = heard.get(key)?.[kind];
    if (known === undefined) return undefined;
    const age = clock.monotonic() - known.heardAt;
    return age < STATEMENT_EXPIRY ? known : undefined;
  }

  function store(key: string, next: Heard): void {
    // Insertion order puts the replica that was heard last at the end.
    heard.delete(key);
    heard.set(key, next);
    for (const oldest of heard.keys()) {
      if (heard.size <= MAX_REPLICAS) break;
      heard.delete(oldest);
    }
  }

  return new (class extends Statements {
    override record(replica: Incarnation, statement: Statement): void {
      const key = incarnationKey(replica);
      for (const kind of KINDS) {
        const value = statement[kind];
        const known = findAt(key, kind);
        if (value === undefined && known === undefined) continue;
        const { [kind]: _, ...others } = heard.get(key) ?? {};
        if (value === undefined) store(key, others);
        else {
          const heardAt = clock.monotonic();
          const knownSince = known?.knownSince ?? heardAt;
          store(key, { ...others, [kind]: { value, heardAt, knownSince } });
        }
        if (value !== known?.value) onChange(replica, kind, value);
      }
    }

    override find(replica: Incarnation, kind: StatementKind) {
      return findAt(incarnationKey(replica), kind);
    }
  })();
}
