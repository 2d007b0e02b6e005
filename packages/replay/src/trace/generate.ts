/**
 * Seeded traces of the shape of each deployment: conversations that return
 * after others have taken their place in memory, demand that swings within
 * seconds, a few very long guides or sets, orders mixed with look-ups, and a few
 * large customers.
 */
import { createRandomSource, type RandomSource } from "@peridotvalve/routing";
import type { TraceRequest } from "./trace.ts";

export interface Shape {
  readonly model: string;
  readonly shortModel: string;
  readonly orders: { readonly service: string; readonly path: string };
  readonly lookups: { readonly service: string; readonly path: string };
  /** Customers in order of their size. */
  readonly customers: readonly string[];
  /** Share of chat requests with a very long prompt. */
  readonly longShare: number;
  readonly longTokens: number;
  /** Share of orders and of look-ups among all requests. */
  readonly orderShare: number;
  readonly lookupShare: number;
}

export const SHAPES: Readonly<Record<string, Shape>> = {
  koiratakki: {
    model: "sizing-llm",
    shortModel: "shop-app",
    orders: { service: "bookings", path: "/orders" },
    lookups: { service: "stock", path: "/stock/coat" },
    customers: [
      ...["pet-shops-uusimaa", "coat-club", "turku-kennels"],
      ...["hound-owners", "spitz-breeders", "savo-kennel"],
    ],
    longShare: 0.02,
    longTokens: 24_000,
    orderShare: 0.08,
    lookupShare: 0.12,
  },
  albuquerque: {
    model: "oficina-llm",
    shortModel: "balcao",
    orders: { service: "confirmations", path: "/orders" },
    lookups: { service: "catalogue", path: "/stock/carafe" },
    customers: [
      ...["casa-das-tacas", "batizados-caruaru", "noivas-recife"],
      ...["presentes-olinda", "cristais-agreste", "festas-garanhuns"],
    ],
    longShare: 0.05,
    longTokens: 16_000,
    orderShare: 0.06,
    lookupShare: 0.06,
  },
};

export interface GenerateOptions {
  readonly seed: number;
  /** Length of the trace in milliseconds. */
  readonly duration: number;
  /** Mean requests per second. */
  readonly rate?: number;
  /** Conversations that take turns. */
  readonly conversations?: number;
  /** Prompt tokens of a first turn. */
  readonly promptTokens?: number;
  /** Tokens by which each turn extends the prompt. */
  readonly growth?: number;
  readonly tokens?: number;
  readonly patience?: number;
}

const PATIENCE = 10_000;
const SWING_MILLISECONDS = 4_000;
const LEAST_SWING = 0.3;
const GREATEST_SWING = 2.2;
/** Share of requests that the three large customers send. */
const LARGE_SHARE = 0.75;
const LARGE_CUSTOMERS = 3;
const SHORT_SHARE = 0.25;
const SHORT_TOKENS = 120;

export function generateTrace(
  shape: Shape,
  options: GenerateOptions,
): readonly TraceRequest[] {
  const random = createRandomSource(options.seed);
  const { rate = 8, patience = PATIENCE } = options;
  const turns = new Map<number, number>();
  const requests: TraceRequest[] = [];
  let at = 0;
  let swing = 1;
  let nextSwing = 0;
  for (;;) {
    if (at >= nextSwing) {
      swing = LEAST_SWING + random() * (GREATEST_SWING - LEAST_SWING);
      nextSwing = at + SWING_MILLISECONDS;
    }
    at += -Math.log(1 - random()) * 1_000 / (rate * swing);
    if (at >= options.duration) return requests;
    const kind = random();
    const base = {
      at: Math.round(at),
      customer: chooseCustomer(shape, random),
      patience,
    };
    const { orderShare, lookupShare } = shape;
    if (kind < orderShare) {
      requests.push(createOrder(shape, base, `${options.seed}-${at}`));
    } else if (kind < orderShare + lookupShare) {
      requests.push({
        ...base,
        ...{ kind: "lookup", method: "GET", repeatable: true },
        ...shape.lookups,
      });
    } else requests.push(createChat(shape, base, { random, turns, options }));
  }
}

interface Base {
  readonly at: number;
  readonly customer: string;
  readonly patience: number;
}

function createOrder(shape: Shape, base: Base, key: string): TraceRequest {
  return {
    ...base,
    ...shape.orders,
    kind: "order",
    method: "POST",
    key: `order-${key}`,
    body: JSON.stringify({ order: key }),
    repeatable: false,
  };
}

function createChat(shape: Shape, base: Base, parts: {
  readonly random: RandomSource;
  readonly turns: Map<number, number>;
  readonly options: GenerateOptions;
}): TraceRequest {
  const { random, turns, options } = parts;
  const { conversations = 40, promptTokens = 4_000 } = options;
  const { growth = 300, tokens = 12 } = options;
  const chat = { ...base, kind: "chat", tokens, repeatable: true } as const;
  const conversation = Math.floor(random() * conversations);
  // A conversation belongs to one customer.
  const customer = shape.customers[conversation % shape.customers.length] ??
    base.customer;
  const sort = random();
  if (sort < shape.longShare) {
    return {
      ...chat,
      conversation: `guide-${options.seed}-${base.at}`,
      model: shape.model,
      promptTokens: shape.longTokens,
      long: true,
    };
  }
  if (sort < shape.longShare + SHORT_SHARE) {
    return {
      ...chat,
      conversation: `short-${options.seed}-${base.at}`,
      model: shape.shortModel,
      promptTokens: SHORT_TOKENS,
      long: false,
    };
  }
  const turn = turns.get(conversation) ?? 0;
  turns.set(conversation, turn + 1);
  return {
    ...chat,
    customer,
    conversation: `conversation-${options.seed}-${conversation}`,
    model: shape.model,
    promptTokens: promptTokens + turn * growth,
    long: false,
  };
}

function chooseCustomer(shape: Shape, random: RandomSource): string {
  const { customers } = shape;
  const isLarge = random() < LARGE_SHARE;
  const [first, count] = isLarge
    ? [0, LARGE_CUSTOMERS]
    : [LARGE_CUSTOMERS, customers.length - LARGE_CUSTOMERS];
  return customers[first + Math.floor(random() * count)] ?? "";
}
