/**
 * Keeps the highest version of the configuration that this process has seen,
 * from the platform or from a peer. It never goes back to a lower one.
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
  /** Peers that can be asked at a start during an outage. */
  readonly peers: () => readonly string[];
  /** Reads a peer's version, which may be higher than announced. */
  readonly fetchFromPeer: (
    peer: string,
  ) => Promise<Result<RawConfiguration, string>>;
  /** The operators' folder, served as version 0 until there is a head. */
  readonly bootstrap: () => Promise<Result<Json, string>>;
  readonly check: (content: Json) => Result<Configuration, string>;
  readonly report?: (note: WatchNote) => void;
  /**
   * Time since the last heartbeat of any peer. When absent, the time since the
   * last call of `announce`.
   */
  readonly silence?: () => Milliseconds;
  readonly pollInterval?: Milliseconds;
  /** Without a heartbeat for this long, the daemon polls by itself. */
  readonly silenceLimit?: Milliseconds;
  /** Time that `start` takes at most; the search goes on afterwards. */
  readonly startPatience?: Milliseconds;
  /** Time for one call of the platform or of a peer. */
  readonly timeout?: Milliseconds;
}

/** What the watch tells its owner for the log. */
export type WatchNote =
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
  /** The version in force; undefined before the first one was found. */
  abstract current(): VersionedConfiguration | undefined;
  /** Takes a heartbeat of a peer and the version in it. */
  abstract announce(version: number, peer: string): void;
  /** Calls back with each version adopted from now on; returns the removal. */
  abstract subscribe(
    subscriber: (configuration: VersionedConfiguration) => void,
  ): () => void;
  /** Resolves when there is a version or `startPatience` has passed. */
  abstract start(): Promise<void>;
  abstract stop(): void;
}

const POLL_INTERVAL: Milliseconds = SECOND;
const SILENCE_LIMIT: Milliseconds = 3 * SECOND;
const START_PATIENCE: Milliseconds = 3 * SECOND;
const START_PAUSE: Milliseconds = 200;
const TIMEOUT: Milliseconds = SECOND;
const PLATFORM = "platform";
// Bounds the reads of a start when many versions in a row fail the check.
const OLDER_VERSIONS = 10;

export function createConfigurationWatch(
  options: ConfigurationWatchOptions,
): ConfigurationWatch {
  const {
    platform,
    clock = createSystemClock(),
    pollInterval = POLL_INTERVAL,
    silenceLimit = SILENCE_LIMIT,
    startPatience = START_PATIENCE,
    timeout = TIMEOUT,
    report = () => {},
  } = options;
  const reading = { platform, timeout };
  const subscribers = new Set<(value: VersionedConfiguration) => void>();
  const stopped = new AbortController();
  // The platform's objects are immutable: one that failed the check would fail
  // it again.
  const failed = new Set<number>();
  let current: VersionedConfiguration | undefined;
  let lastHeartbeat = clock.monotonic();
  let fetching: Promise<void> | undefined;
  const announced = new Map<string, number>();

  const held = () => current?.version ?? -1;
  const silence = options.silence ??
    (() => clock.monotonic() - lastHeartbeat);

  function adopt(raw: RawConfiguration, source: string): void {
    if (raw.version <= held() || stopped.signal.aborted) return;
    const { version, change, content } = raw;
    const checked = options.check(content);
    if (checked.isErr()) {
      if (source === PLATFORM) failed.add(version);
      report({ kind: "rejected", version, source, reason: checked.error });
      return;
    }
    current = deepFreeze({ version, change, content: checked.value });
    report({ kind: "adopted", version, source });
    for (const subscriber of subscribers) subscriber(current);
  }

  /** Reads the head and adopts its version. */
  async function poll(): Promise<"read" | "no head" | "unreadable"> {
    const head = await readHead(reading);
    if (head.isErr()) {
      report({ kind: "unreadable", reason: head.error.reason });
      return "unreadable";
    }
    const change = head.value;
    if (change === undefined) return "no head";
    if (!wanted(change.version)) return "read";
    const content = await readContent(change, reading);
    if (content.isOk()) {
      adopt(content.value, PLATFORM);
      return "read";
    }
    report({ kind: "unreadable", reason: content.error.reason });
    return "unreadable";
  }

  function wanted(version: number): boolean {
    return version > held() && !failed.has(version);
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

  /** Catches up with the highest announced version, one fetch at a time. */
  async function catchUp(): Promise<void> {
    while (announced.size > 0 && !stopped.signal.aborted) {
      const [peer, version] = highest(announced);
      announced.clear();
      if (!wanted(version)) return;
      await poll();
      if (wanted(version)) await fetchFrom(peer);
    }
  }

  function startCatchUp(): void {
    fetching ??= catchUp().finally(() => {
      fetching = undefined;
    });
  }

  async function pollForever(): Promise<void> {
    while (!stopped.signal.aborted) {
      await clock.sleep(pollInterval, stopped.signal);
      if (stopped.signal.aborted) return;
      if (held() < 0) await lookOnce();
      else if (options.isReader() || silence() >= silenceLimit) await poll();
    }
  }

  /** Looks for the newest version before one that failed the check. */
  async function findOlder(): Promise<void> {
    const newest = Math.max(0, ...failed);
    const oldest = Math.max(1, newest - OLDER_VERSIONS);
    for (let version = newest - 1; version >= oldest; version -= 1) {
      const older = await readVersion(version, reading);
      if (older.isOk() && older.value) adopt(older.value, PLATFORM);
      if (held() >= 0) return;
    }
  }

  /** Looks for a first version at the platform, the peers and the folder. */
  async function lookOnce(): Promise<void> {
    const answer = await poll();
    if (held() >= 0) return;
    // All peers, because the first to answer may have an old version.
    await Promise.all(options.peers().map(fetchFrom));
    if (held() >= 0) return;
    if (answer === "read") await findOlder();
    // With a head, or without an answer, a change may have been accepted since
    // the folder was written; serving the folder would revert it.
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

  async function findFirst(): Promise<void> {
    const end = clock.monotonic() + startPatience;
    while (!stopped.signal.aborted) {
      await lookOnce();
      if (held() >= 0 || clock.monotonic() >= end) return;
      await clock.sleep(START_PAUSE, stopped.signal);
    }
  }

  return new (class extends ConfigurationWatch {
    override current(): VersionedConfiguration | undefined {
      return current;
    }

    override announce(version: number, peer: string): void {
      lastHeartbeat = clock.monotonic();
      if (!wanted(version)) return;
      announced.set(peer, version);
      startCatchUp();
    }

    override subscribe(
      subscriber: (configuration: VersionedConfiguration) => void,
    ): () => void {
      subscribers.add(subscriber);
      return () => subscribers.delete(subscriber);
    }

    override async start(): Promise<void> {
      await findFirst();
      pollForever();
    }

    override stop(): void {
      stopped.abort();
    }
  })();
}

function highest(
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
