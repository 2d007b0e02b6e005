/**
 * Stand-in for the legacy system, which serves requests while a duty is off.
 * Its responses describe the request, so that tests can check that the daemon
 * passed it through unchanged.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import {
  commonFaults,
  sendJson,
  serverOptions,
  type Standin,
  type StandinRequest,
  startServer,
} from "../server.ts";

export type LegacyStandinOptions = z.input<typeof serverOptions>;

const chatSchema = z.looseObject({
  model: z.string().default("legacy"),
  stream: z.boolean().default(false),
});

const ANSWER_WORDS = ["legacy ", "answer"];

/**
 * Starts the stand-in. Rejects when an option is invalid or the port is in use.
 */
export async function startLegacyStandin(
  input: LegacyStandinOptions = {},
): Promise<Standin> {
  return await startServer({
    options: serverOptions.parse(input),
    faultSchema: commonFaults,
    route: (method, path) =>
      method === "POST" && path === "/v1/chat/completions" ? chat : describe,
  });
}

async function describe(request: StandinRequest): Promise<void> {
  const body = await request.readBody();
  sendJson(request.response, 200, {
    method: request.method,
    path: request.incoming.url,
    headers: request.headers,
    bodyLength: body.length,
    bodySha256: createHash("sha256").update(body).digest("hex"),
  });
}

async function chat(request: StandinRequest): Promise<void> {
  const { model, stream } = await request.readJson(chatSchema);
  const head = { id: "chatcmpl-legacy", created: 0, model };
  const { response } = request;
  if (!stream) {
    const message = { role: "assistant", content: ANSWER_WORDS.join("") };
    const choices = [{ index: 0, message, finish_reason: "stop" }];
    const usage = { prompt_tokens: 1, completion_tokens: 2, total_tokens: 3 };
    const object = "chat.completion";
    return sendJson(response, 200, { ...head, object, choices, usage });
  }
  response.writeHead(200, { "content-type": "text/event-stream" });
  const object = "chat.completion.chunk";
  const send = (delta: unknown, finish_reason: string | null) => {
    const choices = [{ index: 0, delta, finish_reason }];
    const chunk = { ...head, object, choices };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  };
  for (const content of ANSWER_WORDS) send({ content }, null);
  send({}, "stop");
  response.end("data: [DONE]\n\n");
}
