/**
 * Binds a stream that a caller takes up to the software version that began it,
 * as replicas of other versions cannot go on with it.
 */
import type { DispatchRequest } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { StreamOrigin } from "@peridotvalve/retries";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { StreamRecords } from "./stream_records.ts";

/**
 * Where the stream goes on. "unknown": its origin is not known and will not be,
 * or its route no longer leads there. "unread": the records could not be read
 * now.
 */
export type StreamBinding = StreamOrigin | "unknown" | "unread";

export interface StreamBindingOptions {
  readonly logger: EventLogger;
  readonly streams: Pick<StreamRecords, "find">;
}

export function createStreamBinding({ logger, streams }: StreamBindingOptions) {
  return async function bindStream(
    { service, route }: DispatchRequest,
    { resumes, lastEvent = 0 }: ForwardedRequest,
    subject: Parameters<EventLogger["log"]>[2],
  ): Promise<StreamBinding> {
    const found = await streams.find(resumes, service);
    const origin = typeof found === "string" ? undefined : found;
    logger.log("stream_taken_up", {
      ...{ resumes: resumes ?? "", lastEvent },
      ...{ service: origin?.service ?? "", software: origin?.software ?? "" },
      ...{ evidence: origin?.evidence ?? "", age: origin?.age ?? 0 },
    }, subject);
    if (origin === undefined) return found === "unread" ? found : "unknown";
    const isReached = route.targets.some((target) =>
      target.service === origin.service
    );
    if (!isReached) return "unknown";
    return { service: origin.service, software: origin.software };
  };
}
