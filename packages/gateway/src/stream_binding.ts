/**
 * Binds a stream that a caller takes up to the software version that began it,
 * as replicas of other versions cannot go on with it. A new one waits until it is
 * known at which versions streams may begin.
 */
import type { DispatchRequest } from "@peridotvalve/dispatch";
import type { EventLogger } from "@peridotvalve/events";
import type { StreamOrigin } from "@peridotvalve/retries";
import { type ForwardedRequest, isTakenUp } from "./forwarded_request.ts";
import type { SoftwareRecords } from "./software_record.ts";
import type { StreamRecords } from "./stream_records.ts";

/**
 * Where the stream goes on. "new": it is no stream of an earlier request.
 * "unknown": its origin is not known and will not be, or its route no longer leads
 * there. "unread": the records could not be read now.
 */
export type StreamBinding = StreamOrigin | "new" | "unknown" | "unread";

export interface StreamBindingOptions {
  readonly logger: EventLogger;
  readonly streams: Pick<StreamRecords, "find">;
  readonly software: Pick<SoftwareRecords, "settled">;
}

export function createStreamBinding(
  { logger, streams, software }: StreamBindingOptions,
) {
  return async function bindStream(
    request: DispatchRequest,
    forwarded: ForwardedRequest,
    subject: Parameters<EventLogger["log"]>[2],
  ): Promise<StreamBinding> {
    const { route } = request;
    if (!isTakenUp(request, forwarded)) {
      if (route.isResumable) await software.settled(request.service);
      return "new";
    }
    const { resumes, lastEvent = 0 } = forwarded;
    const found = await streams.find(resumes, route);
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
