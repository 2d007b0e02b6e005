/**
 * Checks guarantee 2: requests and responses of one customer never reach
 * another customer.
 */
import { callsOf, type History, type Violation } from "../history.ts";
import { isPrefix, listExpectedAnswers } from "./expected.ts";
import { readOrderNumber } from "./orders.ts";

const SUCCESS = 200;
const REDIRECTION = 300;

export function checkIsolation(history: History): readonly Violation[] {
  return [
    ...checkOrderOwners(history),
    ...checkOrderNumbers(history),
    ...checkTexts(history),
  ];
}

/** Checks that a service gets the name of the customer whose API key was sent. */
function checkOrderOwners(history: History): readonly Violation[] {
  const owners = new Map(
    callsOf(history, "order").map((
      { operation },
    ) => [operation.body, operation.customer]),
  );
  return history.ran.filter((call) => {
    const owner = owners.get(call.body);
    return owner !== undefined && owner !== call.customer;
  }).map((call) => ({
    rule: "an order runs for the customer who sent it",
    message: `${call.process} #${call.number} ran for ${call.customer}, sent ` +
      `by ${owners.get(call.body)}`,
  }));
}

function checkOrderNumbers(history: History): readonly Violation[] {
  return callsOf(history, "order").flatMap(({ id, operation, outcome }) => {
    if (outcome?.type !== "answered") return [];
    if (outcome.status < SUCCESS || outcome.status >= REDIRECTION) return [];
    const number = readOrderNumber(outcome.text);
    const named = history.ran.filter((call) =>
      call.path === "/orders" && call.number === number
    );
    const isOwn = named.some((call) => call.customer === operation.customer);
    if (isOwn || named.length === 0) return [];
    return [{
      rule: "a customer sees only its own order numbers",
      message: `order call ${id} of ${operation.customer} got number ` +
        `${number} of ${named[0]?.customer}`,
    }];
  });
}

function checkTexts(history: History): readonly Violation[] {
  const chats = callsOf(history, "chat").map((call) => ({
    ...call,
    expected: listExpectedAnswers(call.operation, history.setup),
  }));
  return chats.flatMap(({ id, operation, outcome, expected }) => {
    if (outcome === undefined || outcome.type === "changed") return [];
    const { text } = outcome;
    const isOwn = expected.some((tokens) => isPrefix(text, tokens));
    if (text === "" || isOwn) return [];
    const other = chats.find((chat) =>
      chat.operation.customer !== operation.customer &&
      chat.expected.some((tokens) => isPrefix(text, tokens))
    );
    if (other === undefined) return [];
    return [{
      rule: "a customer sees only its own answers",
      message: `completion ${id} of ${operation.customer} got the answer ` +
        `to ${other.id} of ${other.operation.customer}`,
    }];
  });
}
