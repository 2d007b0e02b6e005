/**
 * Checks guarantees 5 and 6: an order runs at most once, its caller gets the
 * response to that order, and an error with `ran: "no"` or `ran: "yes"` agrees
 * with the record of the service.
 */
import {
  type Call,
  callsOf,
  type History,
  type ServiceExecution,
  type Violation,
} from "../history.ts";
import type { CallResponse, OrderOperation } from "../records.ts";

const ORDERS_PATH = "/orders";
const SUCCESS = 200;
const REDIRECTION = 300;

export function checkOrders(history: History): readonly Violation[] {
  const ran = history.ran.filter((call) => call.path === ORDERS_PATH);
  const byKey = groupBy(ran, (call) => keyOf(call.customer, call));
  const byRequest = groupBy(ran, (call) => call.request ?? "");
  const calls = callsOf(history, "order");
  return [
    ...checkAtMostOnce(byKey),
    ...calls.flatMap((call) => {
      if (call.outcome?.type !== "answered") return [];
      const key = keyOf(call.operation.customer, {
        idempotencyKey: call.operation.key,
      });
      return checkResponse(call, {
        answer: call.outcome,
        ran: byKey.get(key) ?? [],
        ranByRequest: byRequest.get(call.outcome.request) ?? [],
      });
    }),
    ...checkRefusedOrders(calls, byKey),
  ];
}

function checkAtMostOnce(
  byKey: ReadonlyMap<string, readonly ServiceExecution[]>,
): readonly Violation[] {
  return [...byKey].filter(([, calls]) => calls.length > 1)
    .map(([key, calls]) => ({
      rule: "an order runs at most once",
      message: `${key} ran ${calls.length} times: ` +
        calls.map((call) => `${call.process} #${call.number}`).join(", "),
    }));
}

function checkResponse(
  call: Call<OrderOperation>,
  parts: {
    readonly answer: CallResponse;
    readonly ran: readonly ServiceExecution[];
    readonly ranByRequest: readonly ServiceExecution[];
  },
): readonly Violation[] {
  const { answer, ran, ranByRequest } = parts;
  const { operation, id } = call;
  const name = `order call ${id} (${operation.customer}, ${operation.key})`;
  if (answer.status >= SUCCESS && answer.status < REDIRECTION) {
    const number = readOrderNumber(answer.text);
    const isOwn = ran.some((one) =>
      one.number === number && one.body === operation.body
    );
    if (isOwn) return [];
    return [{
      rule: ran.length === 0
        ? "an order that was answered with success ran"
        : "a caller gets the answer of its own order",
      message: `${name} was answered with order ${number}`,
    }];
  }
  if (answer.ran === "no" && ranByRequest.length > 0) {
    return [{
      rule: 'a refusal with ran: "no" is true',
      message: `${name} was refused with ${answer.code} and ran`,
    }];
  }
  if (answer.ran === "yes" && ran.length === 0) {
    return [{
      rule: 'a refusal with ran: "yes" is true',
      message: `${name} was refused with ${answer.code} and never ran`,
    }];
  }
  return [];
}

/** Finds orders that ran although every attempt was refused with `ran: "no"`. */
function checkRefusedOrders(
  calls: readonly Call<OrderOperation>[],
  byKey: ReadonlyMap<string, readonly ServiceExecution[]>,
): readonly Violation[] {
  const attempts = groupBy(
    calls,
    ({ operation }) =>
      keyOf(operation.customer, { idempotencyKey: operation.key }),
  );
  return [...attempts].filter(([key, all]) =>
    byKey.has(key) &&
    all.every(({ outcome }) =>
      outcome?.type === "answered" && outcome.ran === "no"
    )
  ).map(([key]) => ({
    rule: 'a refusal with ran: "no" is true',
    message: `${key} ran although every attempt was refused as not run`,
  }));
}

function keyOf(
  customer: string | null,
  call: { readonly idempotencyKey: string | null },
): string {
  return `order ${customer}/${call.idempotencyKey}`;
}

export function readOrderNumber(text: string): number | undefined {
  try {
    const body = JSON.parse(text) as { readonly order?: number };
    return body.order;
  } catch {
    return undefined;
  }
}

export function groupBy<Item>(
  items: readonly Item[],
  keyOfItem: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOfItem(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}
