/**
 * Failure of an exchange that has no complete response.
 */
export interface HttpFailure {
  /** False only if no byte of the request was written to a connection. */
  readonly sent: boolean;
  readonly reason:
    | "unreachable"
    | "timeout"
    | "cut"
    | "protocol"
    | "cancelled"
    | "withdrawn";
  readonly message: string;
}
