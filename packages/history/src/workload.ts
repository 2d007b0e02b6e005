/**
 * Runs callers and operators whose calls are derived from the seed.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { sendChat, sendLookUp, sendOrder } from "./calls.ts";
import { applyChange } from "./operators.ts";
import { createRandom, type Random } from "./random.ts";
import type { OrderOperation } from "./records.ts";
import { listAvailableDaemons, type RunContext } from "./run_context.ts";

const CALLER_PAUSE: Milliseconds = 40;
const NO_DAEMON_PAUSE: Milliseconds = 200;
const OPERATOR_PAUSE: Milliseconds = 1_200;
const FIRST_MARKER = 1_000;
const CONVERSATIONS = 6;

export interface WorkloadOptions {
  readonly seed: number;
  readonly callers: number;
  readonly signal: AbortSignal;
}

/** Runs callers and operators until the signal aborts and their calls end. */
export async function runWorkload(
  context: RunContext,
  options: WorkloadOptions,
): Promise<void> {
  const callers = Array.from(
    { length: options.callers },
    (_, index) => runCaller(context, index, options),
  );
  await Promise.all([...callers, runOperators(context, options)]);
}

async function runCaller(
  context: RunContext,
  index: number,
  { seed, signal }: WorkloadOptions,
): Promise<void> {
  const random = createRandom(seed * 1_000 + index);
  const customers = Object.keys(context.deployment.keys);
  const customer = customers[index % customers.length] ?? "";
  for (let count = 0; !signal.aborted; count += 1) {
    if (listAvailableDaemons(context).length === 0) {
      await sleep(NO_DAEMON_PAUSE);
      continue;
    }
    const name = `${index}-${count}`;
    const draw = random.between(1, 100);
    if (draw <= 40) await runChat(context, random, { customer, name });
    else if (draw <= 50) {
      const daemon = random.pick(listAvailableDaemons(context));
      const item = `coat-${name}`;
      await sendLookUp(context, { type: "look-up", daemon, customer, item });
    } else await runOrders(context, random, { customer, name });
    await sleep(CALLER_PAUSE);
  }
}

interface CallIdentity {
  readonly customer: string;
  readonly name: string;
}

async function runChat(
  context: RunContext,
  random: Random,
  { customer, name }: CallIdentity,
): Promise<void> {
  const tokens = random.between(2, 40);
  // All customers use the same conversation keys. Prompts share a prefix of
  // several blocks, so that some prompts are served from cached blocks.
  const conversation = random.between(1, CONVERSATIONS);
  const guide = `guide ${conversation} `.repeat(random.between(1, 60));
  await sendChat(context, {
    type: "chat",
    daemon: random.pick(listAvailableDaemons(context)),
    customer,
    prompt: `${guide} question ${name} [[tokens=${tokens}]]`,
    maxTokens: 64,
    streamed: random.chance(60),
    conversation: `conversation-${conversation}`,
  });
}

/**
 * Sends an order. Often repeats it through other daemons, concurrently and
 * afterwards; sometimes reuses its key with another body or customer.
 */
async function runOrders(
  context: RunContext,
  random: Random,
  { customer, name }: CallIdentity,
): Promise<void> {
  const key = `key-${name}`;
  const order = (owner: string, coat: string): OrderOperation => ({
    type: "order",
    daemon: random.pick(listAvailableDaemons(context)),
    customer: owner,
    key,
    body: JSON.stringify({ order: name, owner, coat }),
  });
  const copies = random.chance(50) ? random.between(2, 3) : 1;
  const sent = Array.from(
    { length: copies },
    () => sendOrder(context, order(customer, "rain")),
  );
  if (random.chance(15)) sent.push(sendOrder(context, order(customer, "snow")));
  if (random.chance(25)) {
    const customers = Object.keys(context.deployment.keys);
    const other = random.pick(customers.filter((one) => one !== customer));
    sent.push(sendOrder(context, order(other, "forged"), customer));
  }
  const outcomes = await Promise.all(sent);
  const isSettled = outcomes.some((outcome) =>
    outcome.type === "answered" && outcome.status < 300
  );
  if (listAvailableDaemons(context).length === 0) return;
  if (!isSettled || random.chance(40)) {
    await sendOrder(context, order(customer, "rain"));
  }
}

/**
 * Applies changes through random daemons, often two concurrently that start from
 * the same version.
 */
async function runOperators(
  context: RunContext,
  { seed, signal }: WorkloadOptions,
): Promise<void> {
  const random = createRandom(seed * 1_000 + 999);
  let marker = FIRST_MARKER;
  while (!signal.aborted) {
    const available = listAvailableDaemons(context);
    const operatorCount = random.chance(60) ? 2 : 1;
    if (available.length > 0) {
      await Promise.all(
        Array.from({ length: operatorCount }, () => {
          marker += 1;
          const change = `change-${seed}-${marker}`;
          return applyChange(context, {
            daemon: random.pick(available),
            change,
            marker,
          });
        }),
      );
    }
    await sleep(OPERATOR_PAUSE);
  }
}
