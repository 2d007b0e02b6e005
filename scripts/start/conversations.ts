/**
 * Session step: starts conversations with a long prompt and continues each
 * through another daemon, to compare the time to first token of new and of
 * cached prompts.
 */
import { createRandomSource } from "@peridotvalve/routing";
import { expectedAnswer } from "@peridotvalve/standins";
import { check, createClient, median, type Session } from "./session.ts";

const MODEL = "sizing-llm";
const CUSTOMERS = ["pet-shops-uusimaa", "coat-club", "hound-owners"];
const CONVERSATIONS = 6;

// Five blocks of 2,000 tokens and a remainder, at four bytes per token.
const GUIDE_BYTES = 42_000;
const ANSWER_TOKENS = 12;

const BREEDS = ["spitz", "lapphund", "spaniel", "whippet", "husky", "hound"];
const PARTS = ["chest", "back", "neck", "leg", "coat", "shoulder", "waist"];

interface Message {
  readonly role: "user" | "assistant";
  readonly content: string;
}

interface Turn {
  readonly daemon: string;
  readonly messages: readonly Message[];
}

interface Answer {
  readonly text: string;
  readonly request: string;
  /** Time from the call to the first token, in milliseconds. */
  readonly firstToken: number;
  readonly cachedTokens: number;
}

export interface ReturningRequest {
  readonly daemon: string;
  readonly request: string;
}

/**
 * Prints the times to first token and returns the last request that continued a
 * conversation. Throws when an answer is wrong or most of the continued
 * conversations reused no cached blocks.
 */
export async function runConversations(
  session: Session,
): Promise<ReturningRequest> {
  const daemons = [...session.deployment.settings.keys()];
  const newAnswers: Answer[] = [];
  const returningAnswers: Answer[] = [];
  const conversations = Array.from(
    { length: CONVERSATIONS },
    (_, index) => createConversation(session, index),
  );
  for (const [index, conversation] of conversations.entries()) {
    const daemon = daemons[index % daemons.length] ?? "";
    const { opening } = conversation;
    const answer = await ask(session, conversation, {
      daemon,
      messages: [opening],
    });
    newAnswers.push(answer);
  }
  let last: ReturningRequest = { daemon: "", request: "" };
  for (const [index, conversation] of conversations.entries()) {
    const daemon = daemons[(index + 3) % daemons.length] ?? "";
    const { opening, question } = conversation;
    const earlier = newAnswers[index]?.text ?? "";
    const answer = await ask(session, conversation, {
      daemon,
      messages: [opening, { role: "assistant", content: earlier }, question],
    });
    returningAnswers.push(answer);
    last = { daemon, request: answer.request };
  }
  printTimes(newAnswers, returningAnswers);
  return last;
}

interface Conversation {
  readonly key: string;
  readonly customer: string;
  readonly opening: Message;
  readonly question: Message;
}

function createConversation(session: Session, index: number): Conversation {
  const random = createRandomSource(session.seed * CONVERSATIONS + index);
  const pick = (words: readonly string[]) =>
    words[Math.floor(random() * words.length)] ?? "";
  const breed = pick(BREEDS);
  let guide = `Guide ${session.seed}-${index} for the ${breed}.`;
  while (guide.length < GUIDE_BYTES) {
    const size = 20 + Math.floor(random() * 70);
    guide += ` A ${breed} with a ${pick(PARTS)} of ${size} cm.`;
  }
  const rule = `[[tokens=${ANSWER_TOKENS}]]`;
  return {
    key: `conversation-${session.seed}-${index}`,
    customer: CUSTOMERS[index % CUSTOMERS.length] ?? "",
    opening: { role: "user", content: `${guide} Which size fits? ${rule}` },
    question: { role: "user", content: `And with a thick coat? ${rule}` },
  };
}

/** Sends one turn with the `openai` client and checks the complete answer. */
async function ask(
  session: Session,
  { key, customer }: Conversation,
  { daemon, messages }: Turn,
): Promise<Answer> {
  const client = createClient(session, { daemon, customer });
  const start = performance.now();
  const { data, request_id: request } = await client.chat.completions.create({
    model: MODEL,
    prompt_cache_key: key,
    messages: [...messages],
    stream: true,
    stream_options: { include_usage: true },
  }).withResponse();
  let text = "";
  let firstToken = Number.NaN;
  let cachedTokens = 0;
  for await (const chunk of data) {
    const piece = chunk.choices[0]?.delta.content ?? "";
    if (piece !== "" && text === "") firstToken = performance.now() - start;
    text += piece;
    cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ??
      cachedTokens;
  }
  const group = session.deployment.configuration.groups[MODEL];
  const expected = expectedAnswer({
    customer,
    weights: group?.weights ?? "",
    prompt: messages.map(renderMessage).join(""),
    maxTokens: ANSWER_TOKENS,
  }, { tokensPerBlock: group?.tokensPerBlock }).join("");
  check(
    text === expected,
    `${key} through ${daemon} got an unexpected answer`,
  );
  return { text, request: request ?? "", firstToken, cachedTokens };
}

/** Renders a message into the prompt text as the daemon does. */
function renderMessage({ role, content }: Message): string {
  return `<|${role}|>${content}\n`;
}

function printTimes(
  newAnswers: readonly Answer[],
  returningAnswers: readonly Answer[],
): void {
  const newMedian = median(newAnswers.map((answer) => answer.firstToken));
  const returningMedian = median(
    returningAnswers.map((answer) => answer.firstToken),
  );
  const cachedMedian = median(
    returningAnswers.map((answer) => answer.cachedTokens),
  );
  console.log(
    `time to first token, median of ${newAnswers.length} conversations`,
  );
  console.log(`  new prompts        ${newMedian.toFixed(0)} ms`);
  console.log(
    `  returning prompts  ${returningMedian.toFixed(0)} ms, ` +
      `${cachedMedian} tokens from the cache`,
  );
  console.log(
    `  ratio              ${(newMedian / returningMedian).toFixed(1)}`,
  );
  check(
    cachedMedian > 0,
    "most returning prompts used no cached blocks and were recomputed",
  );
}
