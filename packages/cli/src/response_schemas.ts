/**
 * Schemas of the operators' listener's responses. Unknown keys are ignored, so
 * that the command line works with a newer daemon.
 */
import { z } from "zod";

/** `POST /configuration`. */
export const applyResponseSchema = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("accepted"), version: z.int() }),
  z.object({ outcome: z.literal("rejected"), reason: z.string() }),
  z.object({ outcome: z.literal("unknown") }),
]);

/** `GET /configuration/lag?version=N`. */
export const lagResponseSchema = z.object({
  daemons: z.array(z.object({
    name: z.string(),
    address: z.string(),
    version: z.int(),
  })),
  /** Names of the daemons that still use an older version. */
  lagging: z.array(z.string()),
});

/** `GET /configuration?version=N`. */
export const configurationResponseSchema = z.object({
  version: z.int(),
  change: z.string(),
  content: z.record(z.string(), z.unknown()),
});

/** `GET /configuration/history?limit=N`, newest first. */
export const historyResponseSchema = z.object({
  entries: z.array(z.object({
    version: z.int(),
    change: z.string(),
    /** Milliseconds since the Unix epoch. */
    at: z.number().optional(),
  })),
});

/** `GET /status` and `GET /orders?customer=&key=`. */
export const recordResponseSchema = z.record(z.string(), z.unknown());

/** `GET /events?after=N`. */
export const eventsResponseSchema = z.object({
  events: z.array(z.record(z.string(), z.unknown())),
  /** Value of `after` for the next page. */
  next: z.int(),
  more: z.boolean(),
});

/** The fields of the API's error body that the command line reads. */
export const errorResponseSchema = z.object({
  error: z.object({ message: z.string(), ran: z.string().optional() }),
});
