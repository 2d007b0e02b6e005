/**
 * Writes the server-sent events of one attempt and injects the stream faults.
 */
import type { ServerResponse } from "node:http";
import type { Generation } from "@peridotvalve/types";
import { sendError } from "../server.ts";
import type { Sink } from "./batch.ts";
import type { EngineFaults } from "./options.ts";

interface StreamContext {
  readonly response: ServerResponse;
  readonly weights: () => string;
  readonly faults: () => EngineFaults;
}

/** Creates the sink that writes a sequence's events to the response. */
export function createStream(
  generation: Generation,
  context: StreamContext,
): Sink {
  const { response, faults } = context;
  const { attempt } = generation;
  let sentTokens = 0;

  function writeEvent(
    kind: string,
    data: Readonly<Record<string, unknown>>,
  ): void {
    response.write(`event: ${kind}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  function writeToken(offset: number, text: string): void {
    const { streamFault, crossStreams } = faults();
    if (sentTokens === 1 && crossStreams) {
      writeEvent("token", {
        attempt: `other-${attempt}`,
        offset,
        text: "crossed ",
      });
    }
    if (sentTokens === 1 && streamFault === "garbage") {
      response.write("event: token\ndata: {\n\n");
    }
    const offsetShift = sentTokens !== 1
      ? 0
      : streamFault === "repeat"
      ? -1
      : streamFault === "skip"
      ? 1
      : 0;
    writeEvent("token", { attempt, offset: offset + offsetShift, text });
  }

  return {
    admit() {
      const weights = context.weights();
      if (weights === generation.weights) return true;
      sendError(response, 409, { code: "weights_mismatch", weights });
      return false;
    },
    start(cachedTokens, queuedMilliseconds) {
      const { weights } = generation;
      response.writeHead(200, { "content-type": "text/event-stream" });
      if (faults().streamFault === "no start") return;
      writeEvent("start", {
        attempt,
        weights,
        cachedTokens,
        queuedMilliseconds,
      });
    },
    token(offset, text) {
      if (sentTokens === faults().cutStreamsAfter) {
        response.socket?.resetAndDestroy();
        return;
      }
      writeToken(offset, text);
      sentTokens += 1;
    },
    end(count, finish) {
      if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream" });
      }
      const { streamFault } = faults();
      const countError = streamFault === "wrong count" ? 1 : 0;
      if (streamFault !== "no end") {
        writeEvent("end", { attempt, count: count + countError, finish });
      }
      response.end();
    },
  };
}
