/**
 * The answers of the operators' listener. Keys that this version does not know
 * are ignored, so that the command line works with a newer daemon.
 */
import { z } from "zod";

/** `POST /configuration`. */
export const applyAnswer = z.discriminatedUnion("outcome", [
  z.object({ outcome: z.literal("accepted"), version: z.int() }),
  z.object({ outcome: z.literal("rejected"), reason: z.string() }),
  z.object({ outcome: z.literal("unknown") }),
]);

/** `GET /configuration/lag?version=N`. */
export const lagAnswer = z.object({
  daemons: z.array(z.object({
    name: z.string(),
    address: z.string(),
    version: z.int(),
  })),
  /** Names of the daemons with a lower version. */
  lagging: z.array(z.string()),
});

/** `GET /configuration?version=N`. */
export const configurationAnswer = z.object({
  version: z.int(),
  change: z.string(),
  content: z.record(z.string(), z.unknown()),
});

/** `GET /configuration/history?limit=N`, newest first. */
export const historyAnswer = z.object({
  entries: z.array(z.object({
    version: z.int(),
    change: z.string(),
    /** Milliseconds since the Unix epoch. */
    at: z.number().optional(),
  })),
});

/** `GET /status` and `GET /orders?customer=&key=`. */
export const recordAnswer = z.record(z.string(), z.unknown());

/** `GET /events?after=N`. */
export const eventsAnswer = z.object({
  events: z.array(z.record(z.string(), z.unknown())),
  /** The value of `after` for the next page. */
  next: z.int(),
  more: z.boolean(),
});

/** The API's error shape, as far as the command line reads it. */
export const errorBody = z.object({
  error: z.object({ message: z.string(), ran: z.string().optional() }),
});
