/**
 * Conversations that begin with a long breed guide and return through another
 * daemon.
 */
import { createRandomSource } from "@peridotvalve/routing";
import { expectedAnswer } from "@peridotvalve/standins";
import { check, createClient, median, type Session } from "./parts.ts";

const MODEL = "sizing-llm";
const CUSTOMERS = ["pet-shops-uusimaa", "coat-club", "hound-owners"];
const CONVERSATIONS = 6;

// Five blocks of 2,000 tokens and a rest, at four bytes for each token.
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
  /** Milliseconds from the call to the first token. */
  readonly firstToken: number;
  readonly cachedTokens: number;
}

export interface Returning {
  readonly daemon: string;
  readonly request: string;
}

/** Prints the times to first token and returns the last returning request. */
export async function runConversations(session: Session): Promise<Returning> {
  const daemons = [...session.deployment.settings.keys()];
  const news: Answer[] = [];
  const returns: Answer[] = [];
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
    news.push(answer);
  }
  let last: Returning = { daemon: "", request: "" };
  for (const [index, conversation] of conversations.entries()) {
    const daemon = daemons[(index + 3) % daemons.length] ?? "";
    const { opening, question } = conversation;
    const earlier = news[index]?.text ?? "";
    const answer = await ask(session, conversation, {
      daemon,
      messages: [opening, { role: "assistant", content: earlier }, question],
    });
    returns.push(answer);
    last = { daemon, request: answer.request };
  }
  printTimes(news, returns);
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

/** Sends one turn with the `openai` client and checks the whole answer. */
async function ask(
  session: Session,
  { key, customer }: Conversation,
  { daemon, messages }: Turn,
): Promise<Answer> {
  const client = createClient(session, { daemon, customer });
  const begun = performance.now();
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
    if (piece !== "" && text === "") firstToken = performance.now() - begun;
    text += piece;
    cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ??
      cachedTokens;
  }
  const group = session.deployment.configuration.groups[MODEL];
  const expected = expectedAnswer({
    customer,
    weights: group?.weights ?? "",
    prompt: messages.map(render).join(""),
    maxTokens: ANSWER_TOKENS,
  }, { tokensPerBlock: group?.tokensPerBlock }).join("");
  check(
    text === expected,
    `${key} through ${daemon} got an answer that is not the right one`,
  );
  return { text, request: request ?? "", firstToken, cachedTokens };
}

/** The prompt that the daemon makes of a message. */
function render({ role, content }: Message): string {
  return `<|${role}|>${content}\n`;
}

function printTimes(
  news: readonly Answer[],
  returns: readonly Answer[],
): void {
  const fresh = median(news.map((answer) => answer.firstToken));
  const returning = median(returns.map((answer) => answer.firstToken));
  const cached = median(returns.map((answer) => answer.cachedTokens));
  console.log(`time to first token, median of ${news.length} conversations`);
  console.log(`  new prompts        ${fresh.toFixed(0)} ms`);
  console.log(
    `  returning prompts  ${returning.toFixed(0)} ms, ` +
      `${cached} tokens from the cache`,
  );
  console.log(`  ratio              ${(fresh / returning).toFixed(1)}`);
  check(
    cached > 0,
    "most returning prompts were computed anew, none of their blocks was used",
  );
}
