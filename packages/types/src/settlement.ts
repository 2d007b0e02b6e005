/**
 * The three ways in which a command to another system can end. A lost answer
 * is not an error like others: the command may have taken effect.
 */

/** The command took effect and this is its answer. */
export interface Done<Value> {
  readonly kind: "done";
  readonly value: Value;
}

/** The command did not take effect and never will. */
export interface NotDone<Reason = string> {
  readonly kind: "not done";
  readonly reason: Reason;
}

/** The command may have taken effect, or may still do so. */
export interface Unknown {
  readonly kind: "unknown";
  readonly reason: string;
}

export type Settlement<Value, Reason = string> =
  | Done<Value>
  | NotDone<Reason>
  | Unknown;
