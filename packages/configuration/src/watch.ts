/**
 * Keeps the highest configuration version that this process has read from the
 * platform or a peer. It never returns to a lower version.
 */
import { type Clock, createSystemClock } from "@peridotvalve/clock";
import type { Json, Platform } from "@peridotvalve/tables";
import {
  type Configuration,
  type Milliseconds,
  SECOND,
  type VersionedConfiguration,
} from "@peridotvalve/types";
import { Err, type Result } from "ts-results-es";
import {
  type RawConfiguration,
  readContent,
  readHead,
  readVersion,
} from "./history.ts";

export interface ConfigurationWatchOptions {
  readonly platform: Platform;
  readonly clock?: Clock;
  /** Whether this daemon polls the head for its availability zone. */
  readonly isReader: () => boolean;
  /** Peers that are asked for their version while there is none yet. */
  readonly peers: () => readonly string[];
  /** Fetches a peer's version, which may be higher than the announced one. */
  readonly fetchFromPeer: (
    peer: string,
  ) => Promise<Result<RawConfiguration, string>>;
  /** Reads the bootstrap folder, used as version 0 until there is a head. */
  readonly bootstrap: () => Promise<Result<Json, string>>;
  /** Validates the content of a version; the error says why it is invalid. */
  readonly check: (content: Json) => Result<Configuration, string>;
  readonly report?: (event: WatchEvent) => void;
  /** Time between two reads of the head. */
  readonly pollInterval?: Milliseconds;
  /**
   * Age of the newest read of the head that a peer has told of, after which a
   * daemon polls the head without being a reader.
   */
  readonly peerReadLimit?: () => Milliseconds;
  /** Maximum duration of `start`; the search continues in the background. */
  readonly startTimeout?: Milliseconds;
  /** Timeout of each call to the platform or a peer. */
  readonly timeout?: Milliseconds;
}

/** Events of the watch, for logging. */
export type WatchEvent =
  | {
    readonly kind: "adopted";
    readonly version: number;
    readonly source: string;
  }
  | {
    readonly kind: "rejected";
    readonly version: number;
    readonly source: string;
    readonly reason: string;
  }
  | { readonly kind: "unreadable"; readonly reason: string };

export abstract class ConfigurationWatch {
  /** The adopted version; undefined until the first one is found. */
  abstract current(): VersionedConfiguration | undefined;
  /** Processes the version that a peer has. */
  abstract announce(version: number, peer: string): void;
  /** Processes news that a peer has read the head `age` ago. */
  abstract recordPeerRead(age: Milliseconds): void;
  /**
   * Time since the start of the newest read of the head by this process;
   * infinite before the first one.
   */
  abstract readAge(): Milliseconds;
  /** Subscribes to versions adopted from now on; returns the unsubscriber. */
  abstract subscribe(
    subscriber: (configuration: VersionedConfiguration) => void,
  ): () => void;
  /** Resolves when there is a version or `startTimeout` has passed. */
  abstract start(): Promise<void>;
  abstract stop(): void;
}

const POLL_INTERVAL: Milliseconds = SECOND;
const PEER_READ_LIMIT: Milliseconds = 3 * SECOND;
const START_TIMEOUT: Milliseconds = 3 * SECOND;
const START_RETRY_DELAY: Milliseconds = 200;
const TIMEOUT: Milliseconds = SECOND;
const PLATFORM = "platform";
// Limits the reads of a start when many consecutive versions are invalid.
const MAX_PREVIOUS_VERSIONS = 10;

export function createConfigurationWatch(
  options: ConfigurationWatchOptions,
): ConfigurationWatch {
  const {
    platform,
    clock = createSystemClock(),
    pollInterval = POLL_INTERVAL,
    peerReadLimit = () => PEER_READ_LIMIT,
    startTimeout = START_TIMEOUT,
    timeout = TIMEOUT,
    report = () => {},
  } = options;
  const readOptions = { platform, timeout };
  const subscribers = new Set<(value: VersionedConfiguration) => void>();
  const stopped = new AbortController();
  // The platform's objects are immutable, so a version that failed the check
  // would fail it again.
  const rejectedVersions = new Set<number>();
  let current: VersionedConfiguration | undefined;
  let lastOwnRead = -Infinity;
  // Peers are given time to tell of their reads.
  let lastPeerRead = clock.monotonic();
  let catchingUp: Promise<void> | undefined;
  const announced = new Map<string, number>();

  const heldVersion = () => current?.version ?? -1;
  const peerReadAge = () => clock.monotonic() - lastPeerRead;

  function adopt(raw: RawConfiguration, source: string): void {
    if (raw.version <= heldVersion() || stopped.signal.aborted) return;
    const { version, change, content } = raw;
    const checked = options.check(content);
    if (checked.isErr()) {
      if (source === PLATFORM) rejectedVersions.add(version);
      report({ kind: "rejected", version, source, reason: checked.error });
      return;
    }
    current = deepFreeze({ version, change, content: checked.value });
    report({ kind: "adopted", version, source });
    for (const subscriber of subscribers) subscriber(current);
  }

  /** Reads the head and adopts its version if it is higher. */
  async function poll(): Promise<"read" | "no head" | "unreadable"> {
    const startedAt = clock.monotonic();
    const head = await readHead(readOptions);
    if (head.isErr()) {
      report({ kind: "unreadable", reason: head.error.reason });
      return "unreadable";
    }
    const change = head.value;
    if (change === undefined || !isWanted(change.version)) {
      lastOwnRead = startedAt;
      return change === undefined ? "no head" : "read";
    }
    const content = await readContent(change, readOptions);
    if (content.isOk()) {
      adopt(content.value, PLATFORM);
      lastOwnRead = startedAt;
      return "read";
    }
    report({ kind: "unreadable", reason: content.error.reason });
    return "unreadable";
  }

  function isWanted(version: number): boolean {
    return version > heldVersion() && !rejectedVersions.has(version);
  }

  async function fetchFrom(peer: string): Promise<void> {
    const ended = new AbortController();
    const fetched = await Promise.race([
      options.fetchFromPeer(peer),
      clock.sleep(timeout, ended.signal).then(() => Err(`${peer} is silent`)),
    ]);
    ended.abort();
    if (fetched.isOk()) adopt(fetched.value, peer);
    else report({ kind: "unreadable", reason: fetched.error });
  }

  /** Fetches the highest announced version, one fetch at a time. */
  async function catchUp(): Promise<void> {
    while (announced.size > 0 && !stopped.signal.aborted) {
      const [peer, version] = findHighest(announced);
      announced.clear();
      if (!isWanted(version)) return;
      await poll();
      if (isWanted(version)) await fetchFrom(peer);
    }
  }

  function startCatchUp(): void {
    catchingUp ??= catchUp().finally(() => {
      catchingUp = undefined;
    });
  }

  async function pollForever(): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(pollInterval, stopped.signal);
      if (stopped.signal.aborted) return;
      if (heldVersion() < 0) await tryInitialVersion();
      else if (options.isReader() || peerReadAge() >= peerReadLimit()) {
        await poll();
      }
    }
  }

  /** Adopts the newest valid version before those that failed the check. */
  async function adoptPreviousValid(): Promise<void> {
    const newest = Math.max(0, ...rejectedVersions);
    const oldest = Math.max(1, newest - MAX_PREVIOUS_VERSIONS);
    for (let version = newest - 1; version >= oldest; version -= 1) {
      const older = await readVersion(version, readOptions);
      if (older.isOk() && older.value) adopt(older.value, PLATFORM);
      if (heldVersion() >= 0) return;
    }
  }

  /** Tries to find a version on the platform, at peers and in the folder. */
  async function tryInitialVersion(): Promise<void> {
    const answer = await poll();
    if (heldVersion() >= 0) return;
    // All peers are asked, because the first to answer may have an old version.
    await Promise.all(options.peers().map(fetchFrom));
    if (heldVersion() >= 0) return;
    if (answer === "read") await adoptPreviousValid();
    // If there is a head, or the platform did not answer, a change may have
    // been accepted since the folder was written; using it would revert that.
    if (answer === "no head") await adoptBootstrap();
  }

  async function adoptBootstrap(): Promise<void> {
    const content = await options.bootstrap();
    if (content.isErr()) {
      report({ kind: "unreadable", reason: content.error });
      return;
    }
    const bootstrap = { version: 0, change: "bootstrap" };
    adopt({ ...bootstrap, content: content.value }, "bootstrap");
  }

  async function findInitialVersion(): Promise<void> {
    const end = clock.monotonic() + startTimeout;
    while (!stopped.signal.aborted) {
      await tryInitialVersion();
      if (heldVersion() >= 0 || clock.monotonic() >= end) return;
      await clock.sleep(START_RETRY_DELAY, stopped.signal);
    }
  }

  return new (class extends ConfigurationWatch {
    override current(): VersionedConfiguration | undefined {
      return current;
    }

    override announce(version: number, peer: string): void {
      if (!isWanted(version)) return;
      announced.set(peer, version);
      startCatchUp();
    }

    override recordPeerRead(age: Milliseconds): void {
      lastPeerRead = Math.max(lastPeerRead, clock.monotonic() - age);
    }

    override readAge(): Milliseconds {
      return clock.monotonic() - lastOwnRead;
    }

    override subscribe(
      subscriber: (configuration: VersionedConfiguration) => void,
    ): () => void {
      subscribers.add(subscriber);
      return () => subscribers.delete(subscriber);
    }

    override async start(): Promise<void> {
      await findInitialVersion();
      pollForever();
    }

    override stop(): void {
      stopped.abort();
    }
  })();
}

function findHighest(
  announced: ReadonlyMap<string, number>,
): readonly [peer: string, version: number] {
  const sorted = [...announced].sort(([, left], [, right]) => right - left);
  return sorted[0] ?? ["", -1];
}

function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== "object" || value === null) return value;
  for (const member of Object.values(value)) deepFreeze(member);
  return Object.freeze(value);
}
