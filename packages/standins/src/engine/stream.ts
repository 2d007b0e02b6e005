/**
 * Writes the event stream of one attempt, with the stream faults.
 */
import type { ServerResponse } from "node:http";
import type { Generation } from "@peridotvalve/types";
import { sendRefusal } from "../server.ts";
import type { Sink } from "./batch.ts";
import type { EngineFaults } from "./options.ts";

interface StreamContext {
  readonly response: ServerResponse;
  readonly weights: () => string;
  readonly faults: () => EngineFaults;
}

export function createStream(
  generation: Generation,
  context: StreamContext,
): Sink {
  const { response, faults } = context;
  const { attempt } = generation;
  let sent = 0;

  function write(kind: string, data: Readonly<Record<string, unknown>>): void {
    response.write(`event: ${kind}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  function writeToken(offset: number, text: string): void {
    const { streamFault, crossStreams } = faults();
    if (sent === 1 && crossStreams) {
      write("token", { attempt: `other-${attempt}`, offset, text: "crossed " });
    }
    if (sent === 1 && streamFault === "garbage") {
      response.write("event: token\ndata: {\n\n");
    }
    const shift = sent !== 1
      ? 0
      : streamFault === "repeat"
      ? -1
      : streamFault === "skip"
      ? 1
      : 0;
    write("token", { attempt, offset: offset + shift, text });
  }

  return {
    admit() {
      const weights = context.weights();
      if (weights === generation.weights) return true;
      sendRefusal(response, 409, { code: "weights_mismatch", weights });
      return false;
    },
    start(cachedTokens, queuedMilliseconds) {
      const { weights } = generation;
      response.writeHead(200, { "content-type": "text/event-stream" });
      if (faults().streamFault === "no start") return;
      write("start", { attempt, weights, cachedTokens, queuedMilliseconds });
    },
    token(offset, text) {
      if (sent === faults().cutStreamsAfter) {
        response.socket?.resetAndDestroy();
        return;
      }
      writeToken(offset, text);
      sent += 1;
    },
    end(count, finish) {
      if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream" });
      }
      const { streamFault } = faults();
      const wrong = streamFault === "wrong count" ? 1 : 0;
      if (streamFault !== "no end") {
        write("end", { attempt, count: count + wrong, finish });
      }
      response.end();
    },
  };
}
