/**
 * The table row that stores a claim, and the outcome stored in it.
 */
import type { Json, Row } from "@peridotvalve/tables";
import type { Bytes, Timestamp } from "@peridotvalve/types";
import { z } from "zod";

/** The response of the service. */
export interface Outcome {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** True when the body was too long to be stored; `body` is then empty. */
  readonly bodyOmitted: boolean;
}

const COMMON_FIELDS = {
  /** Incarnation of the process that inserted the claim. */
  owner: z.string(),
  /** Random id of the attempt; at most one attempt of a call is sent. */
  attempt: z.string(),
  fingerprint: z.string(),
  /** Wall-clock time at the owner, in milliseconds; for diagnosis only. */
  claimedAt: z.number(),
  /** Logical clock of the writer; absent in rows of older versions. */
  clock: z.string().optional(),
};

const CLAIM_ROW = z.discriminatedUnion("state", [
  z.object({ ...COMMON_FIELDS, state: z.literal("claimed") }),
  z.object({
    ...COMMON_FIELDS,
    state: z.literal("unknown"),
    settledAt: z.number(),
  }),
  z.object({
    ...COMMON_FIELDS,
    state: z.literal("finished"),
    settledAt: z.number(),
    outcome: z.object({
      status: z.number().int(),
      headers: z.record(z.string(), z.string()),
      /** Base64. */
      body: z.string(),
      bodyOmitted: z.boolean(),
    }),
  }),
]);

export type ClaimRow = Readonly<z.infer<typeof CLAIM_ROW>>;
export type ClaimedRow = ClaimRow & { readonly state: "claimed" };

/** Parses a row; undefined when it is absent or not a claim row. */
export function parseClaimRow(row: Row | undefined): ClaimRow | undefined {
  return CLAIM_ROW.safeParse(row?.value).data;
}

export function toRowValue(row: ClaimRow): Json {
  return { ...row } as Json;
}

export function decodeOutcome(
  row: ClaimRow & { readonly state: "finished" },
): Outcome {
  const body = Buffer.from(row.outcome.body, "base64");
  return { ...row.outcome, body };
}

export interface FinishOptions {
  readonly settledAt: Timestamp;
  readonly maxBodyBytes: Bytes;
}

export function toFinishedRow(
  claimed: ClaimedRow,
  outcome: Outcome,
  { settledAt, maxBodyBytes }: FinishOptions,
): ClaimRow {
  const bodyOmitted = outcome.bodyOmitted || outcome.body.length > maxBodyBytes;
  const body = bodyOmitted ? "" : Buffer.from(outcome.body).toString("base64");
  const { status, headers } = outcome;
  return {
    ...claimed,
    state: "finished",
    settledAt,
    outcome: { status, headers: { ...headers }, body, bodyOmitted },
  };
}

export function toUnknownRow(
  claimed: ClaimRow,
  settledAt: Timestamp,
): ClaimRow {
  const { owner, attempt, fingerprint, claimedAt, clock } = claimed;
  const state = "unknown";
  return { owner, attempt, fingerprint, claimedAt, clock, state, settledAt };
}
