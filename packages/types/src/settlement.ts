/**
 * The possible outcomes of a command to another system. A lost response is an
 * outcome of its own, because the command may have taken effect.
 */

/** The command took effect and returned `value`. */
export interface Done<Value> {
  readonly kind: "done";
  readonly value: Value;
}

/** The command has not taken effect and never will. */
export interface NotDone<Reason = string> {
  readonly kind: "not done";
  readonly reason: Reason;
}

/** The command may have taken effect or may still take effect. */
export interface Unknown {
  readonly kind: "unknown";
  readonly reason: string;
}

export type Settlement<Value, Reason = string> =
  | Done<Value>
  | NotDone<Reason>
  | Unknown;
