/**
 * The event catalogue. Event numbers are grouped by area and never reused, so
 * that operators can search for them and alert on them. `docs/events.md` is
 * generated from this catalogue.
 */
export type Level = "debug" | "info" | "warn" | "error";
export type FieldType = "string" | "number" | "boolean";

export interface EventTraits {
  readonly number: number;
  readonly level: Level;
  readonly fields: Readonly<Record<string, FieldType>>;
  readonly message: string;
}

/** Event areas, keyed by event number divided by 1,000 and rounded down. */
export const AREAS: Readonly<Record<number, string>> = {
  1: "process",
  2: "requests",
  3: "upstreams",
  4: "orders",
  5: "configuration",
  6: "peers",
  7: "cache",
  8: "rollouts",
};

const N = "number";
const S = "string";

function defineEvent<
  const Fields extends Readonly<Record<string, FieldType>>,
>(number: number, level: Level, options: {
  readonly fields: Fields;
  readonly message: string;
}) {
  return { number, level, ...options } as const;
}

export const CATALOGUE = {
  process_started: defineEvent(1001, "info", {
    fields: { version: S },
    message: "The process has started.",
  }),
  process_ready: defineEvent(1002, "info", {
    fields: {},
    message: "The process has a configuration and accepts requests.",
  }),
  drain_started: defineEvent(1003, "info", {
    fields: { reason: S, inFlight: N },
    message:
      "The process accepts no new work and completes requests in flight.",
  }),
  drain_finished: defineEvent(1004, "info", {
    fields: { elapsed: N },
    message: "All requests in flight have completed.",
  }),
  process_stopped: defineEvent(1005, "info", {
    fields: { reason: S },
    message: "The process has stopped.",
  }),
  process_paused: defineEvent(1006, "warn", {
    fields: { pause: N },
    message: "The process was paused and rechecks its deadlines.",
  }),
  settings_applied: defineEvent(1012, "info", {
    fields: { needRestart: S },
    message: "Changed settings are in force, except those that need a restart.",
  }),
  settings_rejected: defineEvent(1013, "error", {
    fields: { reason: S },
    message: "Changed settings cannot be used; the old ones stay in force.",
  }),
  invariant_violated: defineEvent(1007, "error", {
    fields: { reason: S },
    message: "An invariant was violated and the process stops.",
  }),
  handler_failed: defineEvent(1009, "error", {
    fields: { reason: S },
    message: "A request handler failed; the request got an error.",
  }),
  memory_limit_near: defineEvent(1008, "warn", {
    fields: { bytes: N, limit: N },
    message: "The process uses most of its memory limit.",
  }),
  drain_limit_reached: defineEvent(1010, "warn", {
    fields: { requests: N, outcomes: N, claimRows: N },
    message:
      "The shutdown time limit was reached; the counted work was abandoned.",
  }),
  request_received: defineEvent(2001, "debug", {
    fields: { route: S, method: S },
    message: "A request has arrived.",
  }),
  request_queued: defineEvent(2002, "debug", {
    fields: { position: N },
    message: "A request waits for a permit.",
  }),
  request_admitted: defineEvent(2003, "debug", {
    fields: { waited: N },
    message: "A request got a permit.",
  }),
  request_refused: defineEvent(2004, "info", {
    fields: { code: S, ran: S },
    message: "A request was refused.",
  }),
  request_finished: defineEvent(2005, "info", {
    fields: { status: N, elapsed: N, tokens: N },
    message: "A request received its complete response.",
  }),
  request_cancelled: defineEvent(2006, "info", {
    fields: { reason: S },
    message: "A request was cancelled.",
  }),
  request_failed: defineEvent(2007, "warn", {
    fields: { code: S, ran: S },
    message: "A request ended without its complete response.",
  }),
  first_token_sent: defineEvent(2008, "debug", {
    fields: { elapsed: N, cachedTokens: N },
    message: "The first token has been sent to the caller.",
  }),
  request_passed_through: defineEvent(2009, "debug", {
    fields: { route: S },
    message: "A request was passed unchanged to the legacy address.",
  }),
  caller_disconnected: defineEvent(2010, "info", {
    fields: { sentTokens: N },
    message:
      "The caller closed the connection before the response was complete.",
  }),
  attempt_started: defineEvent(3001, "debug", {
    fields: { attempt: S, kind: S },
    message: "An attempt was sent to an upstream.",
  }),
  attempt_finished: defineEvent(3002, "debug", {
    fields: { attempt: S, elapsed: N },
    message: "An attempt ended with a complete response.",
  }),
  attempt_failed: defineEvent(3003, "warn", {
    fields: { attempt: S, reason: S },
    message: "An attempt ended without a complete response.",
  }),
  stream_stalled: defineEvent(3004, "warn", {
    fields: { attempt: S, silence: N },
    message: "An upstream missed a progress deadline.",
  }),
  stream_resumed: defineEvent(3005, "info", {
    fields: { attempt: S, offset: N },
    message: "A stream continues on another replica.",
  }),
  chunk_rejected: defineEvent(3006, "warn", {
    fields: { attempt: S, expected: N, received: N },
    message: "A chunk had another attempt or offset than expected.",
  }),
  upstream_leaving: defineEvent(3007, "info", {
    fields: { source: S },
    message: "An upstream is leaving and receives no new requests.",
  }),
  upstream_restarted: defineEvent(3008, "info", {
    fields: { previous: S },
    message: "An upstream has a new incarnation.",
  }),
  upstream_ejected: defineEvent(3009, "warn", {
    fields: { reason: S },
    message: "An upstream was ejected and receives only probes.",
  }),
  upstream_restored: defineEvent(3010, "info", {
    fields: { elapsed: N },
    message: "An upstream receives requests again.",
  }),
  connection_blackholed: defineEvent(3011, "warn", {
    fields: { silence: N },
    message: "A connection missed its deadline and was closed.",
  }),
  load_report_stale: defineEvent(3012, "warn", {
    fields: { age: N },
    message: "The load report of a replica is stale.",
  }),
  load_report_missing: defineEvent(3015, "warn", {
    fields: { reason: S },
    message: "A replica that was asked after a pause sent no load report.",
  }),
  retry_budget_spent: defineEvent(3013, "warn", {
    fields: { kind: S },
    message: "The budget for retries or hedged attempts is used up for now.",
  }),
  hedge_started: defineEvent(3014, "info", {
    fields: { waited: N, first: S },
    message: "A second attempt started because the first token was late.",
  }),
  claim_inserted: defineEvent(4001, "debug", {
    fields: { claim: S },
    message: "The claim of an order was inserted.",
  }),
  claim_exists: defineEvent(4002, "info", {
    fields: { claim: S, state: S },
    message: "An order with the same key was claimed before.",
  }),
  claim_released: defineEvent(4003, "info", {
    fields: { claim: S, reason: S },
    message: "A claim was released because its call was not sent.",
  }),
  order_sent: defineEvent(4004, "info", {
    fields: { claim: S },
    message: "The first byte of an order is about to be sent.",
  }),
  outcome_stored: defineEvent(4005, "debug", {
    fields: { claim: S, status: N },
    message: "The outcome of an order is stored in its claim.",
  }),
  outcome_unknown: defineEvent(4006, "warn", {
    fields: { claim: S, reason: S },
    message: "It is unknown whether an order was executed.",
  }),
  outcome_replayed: defineEvent(4007, "info", {
    fields: { claim: S },
    message: "A repeated order was answered with the stored outcome.",
  }),
  order_refused: defineEvent(4009, "info", {
    fields: { reason: S },
    message: "An order was not sent because of the state of its claim.",
  }),
  claim_unresolved: defineEvent(4008, "warn", {
    fields: { claim: S, reason: S },
    message:
      "The platform's response to a claim was lost and could not be read back.",
  }),
  claims_swept: defineEvent(4010, "info", {
    fields: { markedUnknown: N, removed: N },
    message:
      "Abandoned claims were marked as unknown and old settled ones removed.",
  }),
  configuration_adopted: defineEvent(5001, "info", {
    fields: { version: N, change: S, source: S },
    message: "The daemon has adopted a newer configuration.",
  }),
  configuration_rejected: defineEvent(5002, "error", {
    fields: { version: N, reason: S },
    message: "A configuration could not be used.",
  }),
  configuration_applied: defineEvent(5003, "info", {
    fields: { version: N, change: S },
    message: "A change was accepted by the platform.",
  }),
  configuration_conflict: defineEvent(5004, "warn", {
    fields: { change: S, version: N },
    message: "A change was rejected because it was based on an older version.",
  }),
  configuration_unknown: defineEvent(5005, "warn", {
    fields: { change: S, reason: S },
    message: "It is unknown whether a change was accepted.",
  }),
  head_unreadable: defineEvent(5006, "warn", {
    fields: { reason: S },
    message: "The head row could not be read.",
  }),
  duty_switched: defineEvent(5007, "info", {
    fields: { duty: S, on: "boolean" },
    message: "A duty was switched on or off.",
  }),
  platform_unavailable: defineEvent(5008, "warn", {
    fields: { reason: S },
    message: "The platform does not respond.",
  }),
  platform_recovered: defineEvent(5009, "info", {
    fields: { elapsed: N },
    message: "The platform responds again.",
  }),
  peer_live: defineEvent(6001, "info", {
    fields: { peer: S, peerIncarnation: S },
    message: "A peer is live.",
  }),
  peer_suspect: defineEvent(6002, "warn", {
    fields: { peer: S, silence: N },
    message: "A peer has missed three heartbeats.",
  }),
  peer_dead: defineEvent(6003, "warn", {
    fields: { peer: S, silence: N },
    message: "A peer has missed five heartbeats.",
  }),
  peer_leaving: defineEvent(6004, "info", {
    fields: { peer: S },
    message: "A peer is draining.",
  }),
  peer_restarted: defineEvent(6005, "info", {
    fields: { peer: S, peerIncarnation: S },
    message: "A peer has a new incarnation.",
  }),
  peer_forgotten: defineEvent(6006, "info", {
    fields: { peer: S },
    message: "A peer was removed from the list of peers.",
  }),
  datagram_rejected: defineEvent(6007, "warn", {
    fields: { reason: S, from: S },
    message: "A datagram was rejected.",
  }),
  clock_drift: defineEvent(6008, "warn", {
    fields: { peer: S, ahead: N },
    message: "The clock of a peer is too far ahead; its stamp was not adopted.",
  }),
  incarnation_raised: defineEvent(6009, "info", {
    fields: { incarnation: S },
    message:
      "The process raised its incarnation because peers knew a greater one.",
  }),
  silence_discounted: defineEvent(6010, "info", {
    fields: { pause: N },
    message:
      "Missed heartbeats during a pause of this process are not counted.",
  }),
  zone_lost: defineEvent(6011, "warn", {
    fields: { zone: S },
    message: "No aggregates arrive from an availability zone.",
  }),
  zone_heard: defineEvent(6012, "info", {
    fields: { zone: S },
    message: "Aggregates arrive from an availability zone.",
  }),
  link_budget_spent: defineEvent(6013, "warn", {
    fields: { bytes: N },
    message: "The byte budget of the link between regions is used up.",
  }),
  block_published: defineEvent(7001, "debug", {
    fields: { block: S, store: S },
    message: "A block was exported to a store VM.",
  }),
  block_imported: defineEvent(7002, "debug", {
    fields: { block: S, store: S, elapsed: N },
    message: "A block was imported from a store VM.",
  }),
  import_refused: defineEvent(7003, "info", {
    fields: { block: S, reason: S },
    message: "A conditional import was rejected; the prompt is recomputed.",
  }),
  checksum_mismatch: defineEvent(7004, "error", {
    fields: { block: S, store: S },
    message: "The checksum of a copied block does not match.",
  }),
  store_full: defineEvent(7005, "warn", {
    fields: { store: S },
    message: "A store VM is full.",
  }),
  store_restarted: defineEvent(7006, "info", {
    fields: { store: S, previous: S },
    message: "A store VM has a new incarnation.",
  }),
  store_unavailable: defineEvent(7007, "warn", {
    fields: { store: S, reason: S },
    message: "A store VM does not respond.",
  }),
  cache_event_gap: defineEvent(7008, "info", {
    fields: { first: N, expected: N },
    message: "Cache events of an engine are missing.",
  }),
  rollout_started: defineEvent(8001, "info", {
    fields: { group: S, weights: S, fence: N },
    message: "A rollout of weights has started.",
  }),
  rollout_finished: defineEvent(8002, "info", {
    fields: { group: S, weights: S, elapsed: N },
    message: "All replicas of a group have the new weights.",
  }),
  weights_commanded: defineEvent(8003, "info", {
    fields: { weights: S, fence: N },
    message: "A replica was commanded to load weights.",
  }),
  weights_loaded: defineEvent(8004, "info", {
    fields: { weights: S, elapsed: N },
    message: "A replica has loaded weights.",
  }),
  weights_refused: defineEvent(8005, "warn", {
    fields: { weights: S, reason: S },
    message: "A replica rejected a command to load weights.",
  }),
  lease_acquired: defineEvent(8006, "info", {
    fields: { lease: S, fence: N },
    message: "The process has acquired a lease.",
  }),
  lease_lost: defineEvent(8007, "warn", {
    fields: { lease: S, reason: S },
    message: "The process no longer holds a lease.",
  }),
  rollout_paused: defineEvent(8008, "warn", {
    fields: { group: S, reason: S },
    message: "A rollout is paused.",
  }),
  request_ended: defineEvent(2011, "info", {
    fields: {
      route: S,
      outcome: S,
      status: N,
      elapsed: N,
      firstEvent: N,
      sends: N,
      state: N,
    },
    message: "A request was answered by a replica.",
  }),
  request_declined: defineEvent(2012, "info", {
    fields: { route: S, reason: S, status: N, retryAfter: N, state: N },
    message: "A request was rejected; it was not executed and never will be.",
  }),
  request_lost: defineEvent(2013, "warn", {
    fields: {
      route: S,
      reason: S,
      status: N,
      elapsed: N,
      sends: N,
      state: N,
    },
    message: "A request got no complete response; it may have been executed.",
  }),
  request_abandoned: defineEvent(2014, "info", {
    // `turns`: turns of the event loop from the request to its caller's close.
    fields: { route: S, elapsed: N, sends: N, turns: N },
    message: "The caller disconnected before the response was complete.",
  }),
  attempt_placed: defineEvent(3020, "info", {
    fields: {
      number: N,
      version: N,
      software: S,
      unread: N,
      held: N,
      waiting: N,
      running: N,
      saves: N,
      cost: N,
      candidates: N,
      fetched: N,
      remaining: N,
      isRepeat: "boolean",
    },
    message:
      "An attempt of a request was placed on a replica; isRepeat is true for one on a connection of its own, because a replica at the address has answered the request before.",
  }),
  stream_taken_up: defineEvent(3040, "info", {
    fields: {
      ...{ resumes: S, lastEvent: N, service: S, software: S },
      ...{ evidence: S, age: N },
    },
    message:
      "A caller takes up the stream of an earlier request, which it names in resumes, after an event; service and software say where the stream began and are empty when that is not known; evidence and its age in milliseconds say how it is known: by the record of the stream, as the only version that the service has had, or not at all.",
  }),
  software_changed: defineEvent(3041, "info", {
    fields: { service: S, versions: S },
    message:
      "The software versions that may have begun streams of a service were recorded.",
  }),
  software_unsaved: defineEvent(3044, "warn", {
    fields: { service: S, reason: S },
    message:
      "The software versions of a service could not be recorded, and are tried again; no streams begin at a version before it is recorded.",
  }),
  streams_unread: defineEvent(3043, "warn", {
    fields: { table: S, reason: S },
    message:
      "Records of streams or of software versions cannot be read from the store.",
  }),
  streams_unsaved: defineEvent(3042, "warn", {
    fields: { streams: N, collector: S },
    message:
      "Records of where streams began could not be saved, in the store or at a collector, and are tried again.",
  }),
  attempt_ended: defineEvent(3021, "info", {
    fields: { number: N, outcome: S, reason: S, elapsed: N },
    message: "An attempt of a request ended without a usable response.",
  }),
  connection_closed: defineEvent(2020, "warn", {
    fields: { listener: S, reason: S, open: N },
    message:
      "A connection was closed because of the limit of a listener, or because it sent too many requests before their responses.",
  }),
  memory_short: defineEvent(2021, "warn", {
    fields: { held: N, limit: N, waiting: N },
    message:
      "There was no room for a body or a response in the memory for them.",
  }),
  request_malformed: defineEvent(3038, "warn", {
    fields: { code: S, isBehindRequest: "boolean" },
    message:
      "Bytes of a caller are no valid request, and its connection is closed; it gets no answer when they came behind a request that is not answered yet.",
  }),
  response_mismatched: defineEvent(3033, "warn", {
    fields: { number: N, status: N, answered: S, isRefusal: "boolean" },
    message:
      "A replica sent a response that is not taken for the answer to the request of its connection; answered is the request id in the response.",
  }),
  replica_changed: defineEvent(3022, "info", {
    fields: { service: S, change: S, address: S },
    message: "The known state of a replica has changed.",
  }),
  replica_ended: defineEvent(3024, "warn", {
    fields: { beforeEvent: N, afterEvent: N, isCrash: "boolean" },
    message:
      "A replica broke off attempts, counted by whether an event had arrived; isCrash is false when data from it followed.",
  }),
  attempt_broken_off: defineEvent(3031, "warn", {
    fields: {
      fingerprint: S,
      hasBegun: "boolean",
      evidence: S,
      parts: N,
      sinceFirstEvent: N,
    },
    message:
      "A replica broke off an attempt; requests that a caller repeats share the fingerprint, evidence states whether a crash was recorded, or why not, and parts how many prompt parts it counts against; sinceFirstEvent is 0 before the first event.",
  }),
  suspect_proven: defineEvent(3058, "info", {
    fields: { part: S, fingerprint: S, crashes: N },
    message:
      "An answer shows that a prompt part, or a request with the fingerprint, is sound; so many crashes no longer count against it.",
  }),
  replica_statement: defineEvent(3027, "warn", {
    fields: { kind: S, value: N, isInForce: "boolean" },
    message:
      "What a replica says of itself in its answers has changed; isInForce is false when it no longer says so.",
  }),
  replica_pushback: defineEvent(3036, "warn", {
    fields: { delay: N },
    message:
      "A replica has refused a request and wants none from this daemon for the time.",
  }),
  replica_cold: defineEvent(3055, "info", {
    fields: { service: S, reason: S, rate: N, remaining: N },
    message:
      "A replica is taken for cold, because its entry, a report or a suspicion says so or its state is unknown; it gets no more than the rate from all daemons.",
  }),
  replica_warm: defineEvent(3056, "info", {
    fields: { service: S, elapsed: N },
    message: "A replica is no longer taken for cold.",
  }),
  replica_suspected: defineEvent(3057, "warn", {
    fields: { service: S, silence: N },
    message:
      "A replica refused or reset a connection or was silent; it may have restarted and counts as cold until a report on its state.",
  }),
  replicas_lost: defineEvent(3029, "warn", {
    fields: { silent: N },
    message:
      "No replica can be reached, although the neighbors reach them; requests are refused.",
  }),
  replicas_regained: defineEvent(3030, "info", {
    fields: { elapsed: N },
    message:
      "Replicas can be reached again, or the neighbors reach none either.",
  }),
  request_passed_on: defineEvent(3039, "info", {
    fields: { address: S, outcome: S, elapsed: N },
    message:
      "A request was passed on to a neighbor, because this daemon reaches no replica.",
  }),
  statement_rejected: defineEvent(3028, "warn", {
    fields: { reason: S },
    message: "A replica said something of itself that cannot be read.",
  }),
  part_condemned: defineEvent(3025, "error", {
    fields: { part: S, crashes: N, strikes: N, hold: N },
    message:
      "Requests with a prompt part that crashes replicas are refused; crashes is 0 when a peer decided it.",
  }),
  part_released: defineEvent(3026, "warn", {
    fields: { part: S },
    message:
      "Requests with a prompt part are served again, because an answer proved it sound.",
  }),
  request_condemned: defineEvent(3032, "error", {
    fields: { fingerprint: S, crashes: N, strikes: N, hold: N },
    message:
      "A request that crashes replicas is refused when callers repeat it; crashes is 0 when a peer decided it.",
  }),
  request_released: defineEvent(3037, "warn", {
    fields: { fingerprint: S },
    message:
      "A request is served again, because a replica has answered it completely.",
  }),
  zone_evacuated: defineEvent(3050, "warn", {
    fields: { zone: S },
    message:
      "The operator has evacuated a zone; its replicas get no more requests.",
  }),
  evacuation_ended: defineEvent(3051, "info", {
    fields: { zone: S },
    message: "A zone is no longer evacuated; its replicas get requests again.",
  }),
  evacuation_unknown: defineEvent(3052, "warn", {
    fields: { zone: S },
    message:
      "The operator has evacuated a zone that the settings do not name; this changes nothing.",
  }),
  evacuation_kept: defineEvent(3053, "warn", {
    fields: { zone: S, duration: N },
    message:
      "The store has returned from a copy that lacks an evacuation; it is kept for a time unless the operator writes or removes it.",
  }),
  evacuation_expired: defineEvent(3054, "warn", {
    fields: { zone: S },
    message:
      "The operator has not written an evacuation again that a returned store lacks; it ends.",
  }),
  entry_rejected: defineEvent(3023, "warn", {
    fields: { key: S, reason: S },
    message: "An entry of the replica list cannot be parsed.",
  }),
  state_adopted: defineEvent(5010, "info", {
    fields: { version: N, source: S },
    message: "The daemon has adopted a newer desired state.",
  }),
  state_rejected: defineEvent(5011, "error", {
    fields: { reason: S },
    message: "A desired state cannot be parsed and was ignored.",
  }),
  allowed_region_unknown: defineEvent(5020, "warn", {
    fields: { version: N, regions: S },
    message:
      "Routes or customers of a desired state allow regions to which no zone of the settings belongs; such a region allows nothing.",
  }),
  table_lost: defineEvent(5012, "warn", {
    fields: { table: S, reason: S },
    message: "A table cannot be watched; its last known rows remain in use.",
  }),
  table_regained: defineEvent(5013, "info", {
    fields: { table: S, elapsed: N },
    message: "A table can be watched again.",
  }),
  store_returned: defineEvent(5014, "warn", {
    fields: { table: S, era: N },
    message:
      "The store has returned from an older copy; newer known rows remain in use.",
  }),
  vm_list_unreadable: defineEvent(6017, "warn", {
    fields: { reason: S },
    message: "The list of VMs cannot be read, wholly or in some entries.",
  }),
  peer_rows_taken: defineEvent(6014, "info", {
    fields: { peer: S, table: S, version: N },
    message: "Newer table rows were adopted from a peer.",
  }),
  peer_unreachable: defineEvent(6015, "warn", {
    fields: { peer: S, reason: S },
    message: "A peer did not respond to a call.",
  }),
  reader_changed: defineEvent(6016, "info", {
    fields: { table: S, isReader: "boolean", age: N },
    message:
      "The daemon begins or ceases to read a table for its neighbors; age is the time since the newest known read.",
  }),
  store_copied: defineEvent(7011, "info", {
    fields: { peer: S, store: S, parts: N },
    message: "The contents of a store were taken from a peer.",
  }),
  cache_unread: defineEvent(7009, "warn", {
    fields: { reason: S },
    message: "The cache events of a replica cannot be read.",
  }),
  parts_freed: defineEvent(7010, "info", {
    fields: { store: S, parts: N, isDone: "boolean" },
    message: "Parts of replaced weights were freed in a store.",
  }),
  weights_named: defineEvent(8009, "info", {
    fields: { model: S, version: N },
    message: "The operator set a new weight version.",
  }),
  weights_ordered: defineEvent(8010, "info", {
    fields: { model: S, version: N, fence: N, orders: N, answer: S },
    message: "A replica was commanded to load a weight version.",
  }),
  lines_omitted: defineEvent(1011, "warn", {
    fields: { event: S, count: N },
    message: "Log lines of an event were omitted to limit the log volume.",
  }),
} satisfies Readonly<Record<string, EventTraits>>;

export type EventName = keyof typeof CATALOGUE;

interface FieldTypeMap {
  readonly string: string;
  readonly number: number;
  readonly boolean: boolean;
}

/** The fields of an event, typed as the catalogue declares them. */
export type EventFields<Name extends EventName> = {
  readonly [Field in keyof typeof CATALOGUE[Name]["fields"]]:
    FieldTypeMap[Extract<typeof CATALOGUE[Name]["fields"][Field], FieldType>];
};
