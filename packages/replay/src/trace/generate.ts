/**
 * Generates seeded traces with the workload of each example deployment:
 * conversations that continue after others have evicted their cached blocks, a
 * request rate that changes within seconds, a few very long prompts, orders
 * mixed with lookups, and a few customers that send most of the requests.
 */
import { createRandomSource, type RandomSource } from "@peridotvalve/routing";
import type { TraceRequest } from "./trace.ts";

/** The mix of requests that one example deployment serves. */
export interface Workload {
  readonly model: string;
  readonly shortModel: string;
  readonly orders: { readonly service: string; readonly path: string };
  readonly lookups: { readonly service: string; readonly path: string };
  /** Customer names, largest customers first. */
  readonly customers: readonly string[];
  /** Share of chat requests that have a prompt of `longPromptTokens`. */
  readonly longShare: number;
  readonly longPromptTokens: number;
  /** Shares of orders and of lookups among all requests. */
  readonly orderShare: number;
  readonly lookupShare: number;
}

/** Workloads by the name of the example deployment. */
export const WORKLOADS: Readonly<Record<string, Workload>> = {
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
    longPromptTokens: 24_000,
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
    longPromptTokens: 16_000,
    orderShare: 0.06,
    lookupShare: 0.06,
  },
};

export interface GenerateOptions {
  readonly seed: number;
  /** Length of the trace in milliseconds. */
  readonly duration: number;
  /** Mean request rate in requests per second; 8 by default. */
  readonly rate?: number;
  /** Number of concurrent multi-turn conversations; 40 by default. */
  readonly conversations?: number;
  /** Prompt tokens of the first turn of a conversation; 4,000 by default. */
  readonly promptTokens?: number;
  /** Prompt tokens that each further turn adds; 300 by default. */
  readonly growth?: number;
  /** Tokens of each chat response; 12 by default. */
  readonly tokens?: number;
  /** Patience of all callers in milliseconds; 10,000 by default. */
  readonly patience?: number;
}

const DEFAULT_PATIENCE_MILLISECONDS = 10_000;
/** The request rate is multiplied by a new random factor in each period. */
const RATE_PERIOD_MILLISECONDS = 4_000;
const MINIMUM_RATE_FACTOR = 0.3;
const MAXIMUM_RATE_FACTOR = 2.2;
/** Share of requests that the first three customers send together. */
const LARGE_CUSTOMER_SHARE = 0.75;
const LARGE_CUSTOMER_COUNT = 3;
const SHORT_CHAT_SHARE = 0.25;
const SHORT_PROMPT_TOKENS = 120;

/**
 * Generates requests with exponentially distributed gaps, ordered by time. The
 * same workload and options produce the same trace.
 */
export function generateTrace(
  workload: Workload,
  options: GenerateOptions,
): readonly TraceRequest[] {
  const random = createRandomSource(options.seed);
  const { rate = 8, patience = DEFAULT_PATIENCE_MILLISECONDS } = options;
  const turns = new Map<number, number>();
  const trace: TraceRequest[] = [];
  let at = 0;
  let rateFactor = 1;
  let nextRateChange = 0;
  for (;;) {
    if (at >= nextRateChange) {
      rateFactor = MINIMUM_RATE_FACTOR +
        random() * (MAXIMUM_RATE_FACTOR - MINIMUM_RATE_FACTOR);
      nextRateChange = at + RATE_PERIOD_MILLISECONDS;
    }
    at += -Math.log(1 - random()) * 1_000 / (rate * rateFactor);
    if (at >= options.duration) return trace;
    const draw = random();
    const common = {
      at: Math.round(at),
      customer: chooseCustomer(workload, random),
      patience,
    };
    const { orderShare, lookupShare } = workload;
    if (draw < orderShare) {
      trace.push(createOrder(workload, common, `${options.seed}-${at}`));
    } else if (draw < orderShare + lookupShare) {
      trace.push({
        ...common,
        ...{ kind: "lookup", method: "GET", repeatable: true },
        ...workload.lookups,
      });
    } else trace.push(createChat(workload, common, { random, turns, options }));
  }
}

/** The fields that requests of every kind have. */
interface CommonFields {
  readonly at: number;
  readonly customer: string;
  readonly patience: number;
}

function createOrder(
  workload: Workload,
  common: CommonFields,
  key: string,
): TraceRequest {
  return {
    ...common,
    ...workload.orders,
    kind: "order",
    method: "POST",
    key: `order-${key}`,
    body: JSON.stringify({ order: key }),
    repeatable: false,
  };
}

function createChat(workload: Workload, common: CommonFields, context: {
  readonly random: RandomSource;
  readonly turns: Map<number, number>;
  readonly options: GenerateOptions;
}): TraceRequest {
  const { random, turns, options } = context;
  const { conversations = 40, promptTokens = 4_000 } = options;
  const { growth = 300, tokens = 12 } = options;
  const chat = { ...common, kind: "chat", tokens, repeatable: true } as const;
  const conversation = Math.floor(random() * conversations);
  // All turns of a conversation come from the same customer.
  const customer =
    workload.customers[conversation % workload.customers.length] ??
      common.customer;
  const draw = random();
  if (draw < workload.longShare) {
    return {
      ...chat,
      conversation: `guide-${options.seed}-${common.at}`,
      model: workload.model,
      promptTokens: workload.longPromptTokens,
      long: true,
    };
  }
  if (draw < workload.longShare + SHORT_CHAT_SHARE) {
    return {
      ...chat,
      conversation: `short-${options.seed}-${common.at}`,
      model: workload.shortModel,
      promptTokens: SHORT_PROMPT_TOKENS,
      long: false,
    };
  }
  const turn = turns.get(conversation) ?? 0;
  turns.set(conversation, turn + 1);
  return {
    ...chat,
    customer,
    conversation: `conversation-${options.seed}-${conversation}`,
    model: workload.model,
    promptTokens: promptTokens + turn * growth,
    long: false,
  };
}

function chooseCustomer(workload: Workload, random: RandomSource): string {
  const { customers } = workload;
  const isLarge = random() < LARGE_CUSTOMER_SHARE;
  const [first, count] = isLarge
    ? [0, LARGE_CUSTOMER_COUNT]
    : [LARGE_CUSTOMER_COUNT, customers.length - LARGE_CUSTOMER_COUNT];
  return customers[first + Math.floor(random() * count)] ?? "";
}
