/**
 * `POST /v1/chat/completions` and `GET /v1/models`.
 */
import type { Failure } from "@peridotvalve/errors";
import type { ModelGroup } from "@peridotvalve/types";
import { Err, Ok, type Result } from "ts-results-es";
import { authenticate, type Identity } from "../callers/authentication.ts";
import { isDutyOn } from "../callers/duties.ts";
import { passToLegacy } from "../callers/pass.ts";
import { receive, type Received, refuse } from "../callers/receive.ts";
import { type Exchange, readPatience } from "../http/exchange.ts";
import { sendFailure, sendJson } from "../http/respond.ts";
import { readConfigured, type Runtime } from "../runtime.ts";
import { admitChat } from "./admit.ts";
import { relayChat } from "./relay.ts";
import { type Chat, parseChat, peekModel } from "./request.ts";
import { writeCompletion } from "./write.ts";

export async function handleChat(
  runtime: Runtime,
  exchange: Exchange,
): Promise<void> {
  const received = await receive(runtime, exchange);
  if (received.isErr()) return refuse(runtime, exchange, received.error);
  const { configuration, body, identity } = received.value;
  const { content } = configuration;
  const question = {
    duty: "chat",
    route: peekModel(body),
    customer: identity.isOk() ? identity.value.name : "",
  } as const;
  // The legacy system judges what it serves, also keys, models and request
  // forms that are unknown here.
  if (!isDutyOn(content, question)) {
    return await passToLegacy(runtime, exchange, body);
  }
  const prepared = prepare(received.value);
  if (prepared.isErr()) return refuse(runtime, exchange, prepared.error);
  const patience = readPatience(exchange, content.limits.defaultPatience);
  const work = {
    ...prepared.value,
    request: exchange.id,
    conversation: prepared.value.chat.conversation ?? exchange.id,
    deadline: exchange.arrived + patience,
    signal: exchange.signal,
    priority: 0,
  };
  const permit = await admitChat(runtime, work);
  if (permit.isErr()) return refuse(runtime, exchange, permit.error);
  const { priority, queuedFor: queued } = permit.value;
  runtime.meters.queueWait.record(queued, { route: work.chat.model });
  const parts = relayChat(runtime, { ...work, priority });
  const written = await writeCompletion(runtime, exchange, { work, parts });
  permit.value.finish(written);
}

export function handleModels(runtime: Runtime, exchange: Exchange): void {
  const configured = readConfigured(runtime);
  if (configured.isErr()) return sendFailure(exchange, configured.error);
  const { content } = configured.value;
  const identity = authenticate(exchange, content);
  if (identity.isErr()) return sendFailure(exchange, identity.error);
  const data = Object.keys(content.groups)
    .filter((name) => mayUse(identity.value, name))
    .map((id) => ({ id, object: "model", created: 0, owned_by: "operator" }));
  sendJson(exchange, 200, { object: "list", data });
}

interface Prepared {
  readonly identity: Identity;
  readonly chat: Chat;
  readonly group: ModelGroup;
}

function prepare(
  { configuration, identity, body }: Received,
): Result<Prepared, Failure> {
  if (identity.isErr()) return identity;
  const { groups, limits } = configuration.content;
  const chat = parseChat(body, limits.maxTokens);
  if (chat.isErr()) return chat;
  const group = groups[chat.value.model];
  if (group === undefined || !mayUse(identity.value, chat.value.model)) {
    return Err(unknownModel(chat.value.model));
  }
  return Ok({ identity: identity.value, chat: chat.value, group });
}

function mayUse(identity: Identity, model: string): boolean {
  return identity.customer.models?.includes(model) ?? true;
}

function unknownModel(model: string): Failure {
  return {
    code: "model_not_found",
    ran: "no",
    message: `the model ${JSON.stringify(model)} does not exist`,
    param: "model",
  };
}
