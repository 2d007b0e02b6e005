/**
 * Handlers of `POST /v1/chat/completions` and `GET /v1/models`.
 */
import type { Failure } from "@peridotvalve/errors";
import type { ModelGroup } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { authenticate, type Identity } from "../callers/authentication.ts";
import { isDutyOn } from "../callers/duties.ts";
import { forwardToLegacy } from "../callers/forward.ts";
import {
  type ReceivedRequest,
  receiveRequest,
  refuse,
} from "../callers/receive.ts";
import { type Exchange, readPatience } from "../http/exchange.ts";
import { sendFailure, sendJson } from "../http/respond.ts";
import { requireConfiguration, type Runtime } from "../runtime.ts";
import { admitChat } from "./admit.ts";
import { relayChat } from "./relay.ts";
import { type ChatRequest, parseChatRequest, peekModel } from "./request.ts";
import { writeCompletion } from "./write.ts";

/**
 * Memory for the text of a body, its prompt, the prompt's tokens and the attempt's
 * request, in bytes for each byte of the body. With 3, a crowd took 317 MB on a VM
 * of 350 MB.
 */
const PARSED_BYTES_PER_BYTE = 5;

/**
 * Serves a chat completion, or forwards it to the legacy system when the duty
 * is off. Always answers the exchange.
 */
export async function handleChat(
  runtime: Runtime,
  exchange: Exchange,
): Promise<void> {
  const received = await receiveRequest(runtime, exchange);
  if (received.isErr()) return refuse(runtime, exchange, received.error);
  const { body, release } = received.value;
  const work = await runtime.intake.takeForWork(
    body.length * PARSED_BYTES_PER_BYTE,
  );
  try {
    if (work.isErr()) return refuse(runtime, exchange, work.error);
    await serveChat(runtime, exchange, received.value);
  } finally {
    if (work.isOk()) work.value.release();
    release();
  }
}

async function serveChat(
  runtime: Runtime,
  exchange: Exchange,
  received: ReceivedRequest,
): Promise<void> {
  const { configuration, body, identity } = received;
  const { content } = configuration;
  const dutyQuery = {
    duty: "chat",
    route: peekModel(body),
    customer: identity.isOk() ? identity.value.name : "",
  } as const;
  // Duties that are off are forwarded without validation: the legacy system may
  // know keys, models and request formats that are unknown here.
  if (!isDutyOn(content, dutyQuery)) {
    return await forwardToLegacy(runtime, exchange, body);
  }
  const validated = validate(received);
  if (validated.isErr()) return refuse(runtime, exchange, validated.error);
  const patience = readPatience(exchange, content.limits.defaultPatience);
  const work = {
    ...validated.value,
    request: exchange.id,
    conversation: validated.value.chat.conversation ?? exchange.id,
    deadline: exchange.arrivedAt + patience,
    signal: exchange.signal,
    priority: 0,
  };
  const permit = await admitChat(runtime, work);
  if (permit.isErr()) return refuse(runtime, exchange, permit.error);
  const { priority, queuedFor } = permit.value;
  runtime.meters.queueWait.record(queuedFor, { route: work.chat.model });
  const parts = relayChat(runtime, { ...work, priority });
  const observation = await writeCompletion(runtime, exchange, { work, parts });
  permit.value.finish(observation);
}

/** Lists the models that the caller's customer may use. */
export function handleModels(runtime: Runtime, exchange: Exchange): void {
  const configured = requireConfiguration(runtime);
  if (configured.isErr()) return sendFailure(exchange, configured.error);
  const { content } = configured.value;
  const identity = authenticate(exchange, content);
  if (identity.isErr()) return sendFailure(exchange, identity.error);
  const data = Object.keys(content.groups)
    .filter((name) => mayUseModel(identity.value, name))
    .map((id) => ({ id, object: "model", created: 0, owned_by: "operator" }));
  sendJson(exchange, 200, { object: "list", data });
}

interface ValidatedRequest {
  readonly identity: Identity;
  readonly chat: ChatRequest;
  readonly group: ModelGroup;
}

function validate(
  { configuration, identity, body }: ReceivedRequest,
): Result<ValidatedRequest, Failure> {
  if (identity.isErr()) return identity;
  const { groups, limits } = configuration.content;
  const chat = parseChatRequest(body, limits.maxTokens);
  if (chat.isErr()) return chat;
  const group = groups[chat.value.model];
  if (group === undefined || !mayUseModel(identity.value, chat.value.model)) {
    return Err(modelNotFound(chat.value.model));
  }
  return Ok({ identity: identity.value, chat: chat.value, group });
}

function mayUseModel(identity: Identity, model: string): boolean {
  return identity.customer.models?.includes(model) ?? true;
}

function modelNotFound(model: string): Failure {
  return {
    code: "model_not_found",
    ran: "no",
    message: `the model ${JSON.stringify(model)} does not exist`,
    param: "model",
  };
}
