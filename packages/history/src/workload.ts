/**
 * Callers and operators whose calls depend on the seed only.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@peridotvalve/types";
import { sendChat, sendLookUp, sendOrder } from "./calls.ts";
import { applyChange } from "./operators.ts";
import { createRandom, type Random } from "./random.ts";
import type { OrderOperation } from "./records.ts";
import { listOpen, type World } from "./world.ts";

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

/** Runs all callers and operators until the signal aborts and they end. */
export async function runWorkload(
  world: World,
  options: WorkloadOptions,
): Promise<void> {
  const callers = Array.from(
    { length: options.callers },
    (_, index) => runCaller(world, index, options),
  );
  await Promise.all([...callers, runOperators(world, options)]);
}

async function runCaller(
  world: World,
  index: number,
  { seed, signal }: WorkloadOptions,
): Promise<void> {
  const random = createRandom(seed * 1_000 + index);
  const customers = Object.keys(world.deployment.keys);
  const customer = customers[index % customers.length] ?? "";
  for (let count = 0; !signal.aborted; count += 1) {
    if (listOpen(world).length === 0) {
      await sleep(NO_DAEMON_PAUSE);
      continue;
    }
    const name = `${index}-${count}`;
    const kind = random.between(1, 100);
    if (kind <= 40) await chatOnce(world, random, { customer, name });
    else if (kind <= 50) {
      const daemon = random.pick(listOpen(world));
      const item = `coat-${name}`;
      await sendLookUp(world, { type: "look-up", daemon, customer, item });
    } else await orderRepeatedly(world, random, { customer, name });
    await sleep(CALLER_PAUSE);
  }
}

interface Turn {
  readonly customer: string;
  readonly name: string;
}

async function chatOnce(
  world: World,
  random: Random,
  { customer, name }: Turn,
): Promise<void> {
  const tokens = random.between(2, 40);
  // The same conversation keys are used by all customers. A shared beginning
  // of several blocks lets prompts return to cached blocks.
  const conversation = random.between(1, CONVERSATIONS);
  const guide = `guide ${conversation} `.repeat(random.between(1, 60));
  await sendChat(world, {
    type: "chat",
    daemon: random.pick(listOpen(world)),
    customer,
    prompt: `${guide} question ${name} [[tokens=${tokens}]]`,
    maxTokens: 64,
    streamed: random.chance(60),
    conversation: `conversation-${conversation}`,
  });
}

/**
 * Sends an order, often repeated through other daemons at the same time and
 * afterwards, sometimes with another body or as another customer.
 */
async function orderRepeatedly(
  world: World,
  random: Random,
  { customer, name }: Turn,
): Promise<void> {
  const key = `key-${name}`;
  const orderOf = (owner: string, coat: string): OrderOperation => ({
    type: "order",
    daemon: random.pick(listOpen(world)),
    customer: owner,
    key,
    body: JSON.stringify({ order: name, owner, coat }),
  });
  const copies = random.chance(50) ? random.between(2, 3) : 1;
  const sent = Array.from(
    { length: copies },
    () => sendOrder(world, orderOf(customer, "rain")),
  );
  if (random.chance(15)) sent.push(sendOrder(world, orderOf(customer, "snow")));
  if (random.chance(25)) {
    const customers = Object.keys(world.deployment.keys);
    const other = random.pick(customers.filter((one) => one !== customer));
    sent.push(sendOrder(world, orderOf(other, "forged"), customer));
  }
  const outcomes = await Promise.all(sent);
  const isSettled = outcomes.some((outcome) =>
    outcome.type === "answered" && outcome.status < 300
  );
  if (listOpen(world).length === 0) return;
  if (!isSettled || random.chance(40)) {
    await sendOrder(world, orderOf(customer, "rain"));
  }
}

/** Two operators race from the same version through two daemons. */
async function runOperators(
  world: World,
  { seed, signal }: WorkloadOptions,
): Promise<void> {
  const random = createRandom(seed * 1_000 + 999);
  let marker = FIRST_MARKER;
  while (!signal.aborted) {
    const open = listOpen(world);
    const racers = random.chance(60) ? 2 : 1;
    if (open.length > 0) {
      await Promise.all(
        Array.from({ length: racers }, () => {
          marker += 1;
          const change = `change-${seed}-${marker}`;
          return applyChange(world, {
            daemon: random.pick(open),
            change,
            marker,
          });
        }),
      );
    }
    await sleep(OPERATOR_PAUSE);
  }
}
