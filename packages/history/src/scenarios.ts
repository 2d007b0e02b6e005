/**
 * Directed scenarios. Each creates the situation that one mechanism handles: the
 * checks must find no violation with the mechanism and one without it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sendChat, sendOrder } from "./calls.ts";
import { holdFaults, injectFault } from "./faults.ts";
import { applyChange, observe } from "./operators.ts";
import type { ChatOperation, OrderOperation } from "./records.ts";
import { listTargets } from "./run.ts";
import type { RunContext } from "./run_context.ts";

function orderOf(
  context: RunContext,
  order: Partial<OrderOperation>,
): OrderOperation {
  return {
    type: "order",
    daemon: context.daemons[0] ?? "",
    customer: customersOf(context)[0] ?? "",
    key: "key",
    body: "rain",
    ...order,
  };
}

function chatOf(
  context: RunContext,
  chat: Partial<ChatOperation>,
): ChatOperation {
  return {
    type: "chat",
    daemon: context.daemons[0] ?? "",
    customer: customersOf(context)[0] ?? "",
    prompt: "Chest 62 cm [[tokens=8]]",
    maxTokens: 64,
    streamed: true,
    conversation: "conversation",
    ...chat,
  };
}

function customersOf(context: RunContext): readonly string[] {
  return Object.keys(context.deployment.keys);
}

/** Sends each order through all daemons, first concurrently, then one by one. */
export async function repeatOrders(context: RunContext): Promise<void> {
  for (const key of ["key-1", "key-2", "key-3"]) {
    const all = context.daemons.map((daemon) =>
      sendOrder(context, orderOf(context, { daemon, key, body: `rain ${key}` }))
    );
    await Promise.all(all);
    for (const daemon of context.daemons) {
      await sendOrder(
        context,
        orderOf(context, { daemon, key, body: `rain ${key}` }),
      );
    }
  }
}

/** Sends an order with the idempotency key and name of another customer. */
export async function forgeOrders(context: RunContext): Promise<void> {
  const [first = "", second = ""] = customersOf(context);
  const daemon = context.daemons[1] ?? "";
  await sendOrder(context, orderOf(context, { body: "of the first" }));
  await sendOrder(
    context,
    orderOf(context, { daemon, customer: second, body: "of the second" }),
    first,
  );
}

/** Sends an order that the service runs while its response is lost. */
export async function loseServiceResponses(context: RunContext): Promise<void> {
  const { services } = listTargets(context);
  const faults = services.filter((name) => name.startsWith("bookings"))
    .map((target) => ({
      fault: "service fault" as const,
      target,
      change: { loseAnswers: true },
    }));
  await holdFaults(
    context,
    faults,
    () => sendOrder(context, orderOf(context, {})),
  );
}

/**
 * Sends chats while all engines return tokens of other attempts or with wrong
 * offsets.
 */
export async function crossStreams(context: RunContext): Promise<void> {
  const changes = [{ crossStreams: true }, { streamFault: "repeat" }];
  for (const change of changes) {
    const { engines } = listTargets(context);
    const faults = engines.map((target) => ({
      fault: "engine fault" as const,
      target,
      change,
    }));
    await holdFaults(context, faults, () =>
      Promise.all([
        sendChat(context, chatOf(context, {})),
        sendChat(context, chatOf(context, { streamed: false })),
      ]));
  }
}

/** Drains an engine while all daemons keep sending chats. */
export async function drainEngineUnderLoad(context: RunContext): Promise<void> {
  const { engines } = listTargets(context);
  const drain = injectFault(context, {
    after: 0,
    fault: "engine leaving",
    target: engines[0] ?? "",
    duration: 6_000,
  });
  const end = Date.now() + 6_000;
  for (let count = 0; Date.now() < end; count += 1) {
    await Promise.all(
      context.daemons.map((daemon) =>
        sendChat(
          context,
          chatOf(context, {
            daemon,
            prompt: `${count} [[tokens=2]]`,
            conversation: `conversation-${count}`,
          }),
        )
      ),
    );
  }
  await drain;
}

/**
 * Drains an engine while only its own availability zone has work; the other
 * zone gets its first work after the drain target.
 */
export async function drainEngineOfOtherZone(
  context: RunContext,
): Promise<void> {
  const { engines } = listTargets(context);
  const drain = injectFault(context, {
    after: 0,
    fault: "engine leaving",
    target: engines[0] ?? "",
    duration: 7_500,
  });
  const end = Date.now() + 7_000;
  const daemons = [context.daemons[0], context.daemons.at(-1)];
  for (let count = 0; Date.now() < end; count += 1) {
    // Chats of the last 3.8 s go through the daemon of the other zone.
    const daemon = daemons[Date.now() < end - 3_800 ? 0 : 1] ?? "";
    await Promise.all(
      [1, 2, 3, 4].map((number) =>
        sendChat(
          context,
          chatOf(context, {
            daemon,
            prompt: `${count} ${number} [[tokens=2]]`,
            conversation: `conversation-${count}-${number}`,
          }),
        )
      ),
    );
  }
  await drain;
}

/**
 * Pauses a daemon during streams, tells an engine to leave in the meantime and
 * resumes the daemon after the drain target.
 */
export async function pauseDaemonDuringDrain(
  context: RunContext,
): Promise<void> {
  const daemon = context.daemons[0] ?? "";
  const { engines } = listTargets(context);
  const chats = Array.from({ length: 12 }, (_, count) =>
    sendChat(
      context,
      chatOf(context, {
        daemon,
        prompt: `${count} [[tokens=200]]`,
        maxTokens: 250,
        conversation: `conversation-${count}`,
      }),
    ));
  await sleep(800);
  const pause = injectFault(context, {
    after: 0,
    fault: "daemon paused",
    target: daemon,
    duration: 5_000,
  });
  await sleep(300);
  const drain = injectFault(context, {
    after: 0,
    fault: "engine leaving",
    target: engines.at(-1) ?? "",
    duration: 7_000,
  });
  await Promise.all([...chats, pause, drain]);
}

/** Shuts a daemon down gracefully during completions and an order. */
export async function stopDaemon(context: RunContext): Promise<void> {
  const daemon = context.daemons[0] ?? "";
  const { services } = listTargets(context);
  const slow = services.filter((name) => name.startsWith("bookings"))
    .map((target) =>
      injectFault(context, {
        after: 0,
        fault: "service fault",
        target,
        duration: 3_000,
        change: { latency: 2_000 },
      })
    );
  await sleep(200);
  const calls = [
    sendChat(
      context,
      chatOf(context, { prompt: "long [[tokens=150]]", maxTokens: 200 }),
    ),
    sendChat(
      context,
      chatOf(context, {
        prompt: "whole [[tokens=150]]",
        maxTokens: 200,
        streamed: false,
      }),
    ),
    sendOrder(context, orderOf(context, {})),
  ];
  await sleep(300);
  const stop = injectFault(context, {
    after: 0,
    fault: "daemon stopped",
    target: daemon,
    duration: 0,
  });
  await sleep(150);
  // The load balancer still sends calls to the daemon.
  calls.push(
    sendChat(context, chatOf(context, { prompt: "late [[tokens=9]]" })),
  );
  await Promise.all([...calls, ...slow, stop]);
}

/** Applies concurrent changes of one version through all daemons, repeatedly. */
export async function raceConfigurationChanges(
  context: RunContext,
): Promise<void> {
  // Widens the window between reading the head and replacing it.
  const slow = injectFault(context, {
    after: 0,
    fault: "platform fault",
    target: "platform",
    duration: 6_000,
    change: { delay: 100 },
  });
  await sleep(200);
  for (const round of [1, 2, 3]) {
    const active = await observe(context, context.daemons[0] ?? "");
    await Promise.all(
      context.daemons.map((daemon, index) =>
        applyChange(context, {
          daemon,
          change: `race-${round}-${index}`,
          marker: 1_000 + round * 10 + index,
          expect: active?.version ?? 0,
        })
      ),
    );
    await sleep(1_500);
  }
  await slow;
}

/** Applies a change at one daemon and waits until the others must have it. */
export async function propagateChange(context: RunContext): Promise<void> {
  await applyChange(context, {
    daemon: context.daemons[0] ?? "",
    change: "spread-1",
    marker: 2_001,
  });
  await sleep(7_000);
}

/** Restarts a daemon during a platform outage while its peers are running. */
export async function restartDuringOutage(context: RunContext): Promise<void> {
  const [first = "", second = ""] = context.daemons;
  await applyChange(context, {
    daemon: first,
    change: "kept-1",
    marker: 3_001,
  });
  await sleep(3_000);
  const outage = injectFault(context, {
    after: 0,
    fault: "platform fault",
    target: "platform",
    duration: 9_000,
    change: { outage: true },
  });
  await sleep(200);
  await injectFault(context, {
    after: 0,
    fault: "daemon killed",
    target: second,
    duration: 100,
  });
  await observe(context, second);
  await outage;
}
