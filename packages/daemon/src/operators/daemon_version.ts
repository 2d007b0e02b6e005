/**
 * The configuration version of one daemon, as shown to operators.
 */
export interface DaemonVersion {
  readonly name: string;
  readonly address: string;
  readonly version: number | undefined;
}
