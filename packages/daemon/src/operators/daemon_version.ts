/**
 * The configuration version of one daemon, as operators read it.
 */
export interface DaemonVersion {
  readonly name: string;
  readonly address: string;
  readonly version: number | undefined;
}
