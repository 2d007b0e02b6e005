/**
 * `orders show`: prints the claim and the outcome of an order.
 */
import { command, positional, string } from "cmd-ts";
import { deadline, json, operators, token } from "../arguments.ts";
import type { Environment } from "../environment.ts";
import { showRecord } from "../show_record.ts";

export function createOrdersShow(environment: Environment) {
  return command({
    name: "show",
    description: "print the state of an order",
    args: {
      customer: positional({ type: string, displayName: "customer" }),
      key: positional({ type: string, displayName: "idempotency key" }),
      operators,
      token,
      deadline,
      json,
    },
    handler: ({ customer, key, ...options }) =>
      showRecord(`/orders?${new URLSearchParams({ customer, key })}`, {
        ...options,
        address: options.operators,
        environment,
      }),
  });
}
