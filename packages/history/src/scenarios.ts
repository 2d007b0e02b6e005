/**
 * Directed scenarios: each leads straight to the situation that one mechanism
 * is for. With the mechanism the checks find nothing; without it they must.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sendChat, sendOrder } from "./calls.ts";
import { inject } from "./faults.ts";
import { applyChange, observe } from "./operators.ts";
import type { ChatOperation, OrderOperation } from "./records.ts";
import { listTargets } from "./run.ts";
import type { World } from "./world.ts";

function orderOf(world: World, order: Partial<OrderOperation>): OrderOperation {
  return {
    type: "order",
    daemon: world.daemons[0] ?? "",
    customer: customersOf(world)[0] ?? "",
    key: "key",
    body: "rain",
    ...order,
  };
}

function chatOf(world: World, chat: Partial<ChatOperation>): ChatOperation {
  return {
    type: "chat",
    daemon: world.daemons[0] ?? "",
    customer: customersOf(world)[0] ?? "",
    prompt: "Chest 62 cm [[tokens=8]]",
    maxTokens: 64,
    streamed: true,
    conversation: "conversation",
    ...chat,
  };
}

function customersOf(world: World): readonly string[] {
  return Object.keys(world.deployment.keys);
}

/** Orders repeated through all daemons at once and afterwards. */
export async function repeatOrders(world: World): Promise<void> {
  for (const key of ["key-1", "key-2", "key-3"]) {
    const all = world.daemons.map((daemon) =>
      sendOrder(world, orderOf(world, { daemon, key, body: `rain ${key}` }))
    );
    await Promise.all(all);
    for (const daemon of world.daemons) {
      await sendOrder(
        world,
        orderOf(world, { daemon, key, body: `rain ${key}` }),
      );
    }
  }
}

/** Another customer sends the idempotency key and header of the first. */
export async function forgeOrders(world: World): Promise<void> {
  const [first = "", second = ""] = customersOf(world);
  const daemon = world.daemons[1] ?? "";
  await sendOrder(world, orderOf(world, { body: "of the first" }));
  await sendOrder(
    world,
    orderOf(world, { daemon, customer: second, body: "of the second" }),
    first,
  );
}

/** The service runs an order and its answer is lost. */
export async function loseServiceAnswers(world: World): Promise<void> {
  const { services } = listTargets(world);
  const faults = services.filter((name) => name.startsWith("bookings"))
    .map((target) =>
      inject(world, {
        after: 0,
        fault: "service fault",
        target,
        duration: 1_000,
        change: { loseAnswers: true },
      })
    );
  await sleep(200);
  await sendOrder(world, orderOf(world, {}));
  await Promise.all(faults);
}

/** All engines send tokens with wrong offsets and of other attempts. */
export async function crossStreams(world: World): Promise<void> {
  const changes = [{ crossStreams: true }, { streamFault: "repeat" }];
  for (const change of changes) {
    const { engines } = listTargets(world);
    const faults = engines.map((target) =>
      inject(world, {
        after: 0,
        fault: "engine fault",
        target,
        duration: 1_200,
        change,
      })
    );
    await sleep(200);
    await Promise.all([
      sendChat(world, chatOf(world, {})),
      sendChat(world, chatOf(world, { streamed: false })),
    ]);
    await Promise.all(faults);
  }
}

/** Calls go on while an engine is told to leave. */
export async function leaveEngine(world: World): Promise<void> {
  const { engines } = listTargets(world);
  const left = inject(world, {
    after: 0,
    fault: "engine leaving",
    target: engines[0] ?? "",
    duration: 6_000,
  });
  const end = Date.now() + 6_000;
  for (let count = 0; Date.now() < end; count += 1) {
    await Promise.all(
      world.daemons.map((daemon) =>
        sendChat(
          world,
          chatOf(world, {
            daemon,
            prompt: `${count} [[tokens=2]]`,
            conversation: `conversation-${count}`,
          }),
        )
      ),
    );
  }
  await left;
}

/**
 * An engine leaves while only its own availability zone has work, and the
 * first work of the other zone comes after the target.
 */
export async function leaveEngineQuietly(world: World): Promise<void> {
  const { engines } = listTargets(world);
  const left = inject(world, {
    after: 0,
    fault: "engine leaving",
    target: engines[0] ?? "",
    duration: 7_500,
  });
  const end = Date.now() + 7_000;
  const daemons = [world.daemons[0], world.daemons.at(-1)];
  for (let count = 0; Date.now() < end; count += 1) {
    // The second half of the time belongs to the other zone.
    const daemon = daemons[Date.now() < end - 3_800 ? 0 : 1] ?? "";
    await Promise.all(
      [1, 2, 3, 4].map((number) =>
        sendChat(
          world,
          chatOf(world, {
            daemon,
            prompt: `${count} ${number} [[tokens=2]]`,
            conversation: `conversation-${count}-${number}`,
          }),
        )
      ),
    );
  }
  await left;
}

/**
 * A daemon is paused in the middle of streams while an engine is told to leave,
 * and resumes after the target.
 */
export async function pauseWhileEngineLeaves(world: World): Promise<void> {
  const daemon = world.daemons[0] ?? "";
  const { engines } = listTargets(world);
  const chats = Array.from({ length: 12 }, (_, count) =>
    sendChat(
      world,
      chatOf(world, {
        daemon,
        prompt: `${count} [[tokens=200]]`,
        maxTokens: 250,
        conversation: `conversation-${count}`,
      }),
    ));
  await sleep(800);
  const paused = inject(world, {
    after: 0,
    fault: "daemon paused",
    target: daemon,
    duration: 5_000,
  });
  await sleep(300);
  const left = inject(world, {
    after: 0,
    fault: "engine leaving",
    target: engines.at(-1) ?? "",
    duration: 7_000,
  });
  await Promise.all([...chats, paused, left]);
}

/** A daemon is stopped while it streams and while an order runs. */
export async function stopDaemon(world: World): Promise<void> {
  const daemon = world.daemons[0] ?? "";
  const { services } = listTargets(world);
  const slow = services.filter((name) => name.startsWith("bookings"))
    .map((target) =>
      inject(world, {
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
      world,
      chatOf(world, { prompt: "long [[tokens=150]]", maxTokens: 200 }),
    ),
    sendChat(
      world,
      chatOf(world, {
        prompt: "whole [[tokens=150]]",
        maxTokens: 200,
        streamed: false,
      }),
    ),
    sendOrder(world, orderOf(world, {})),
  ];
  await sleep(300);
  const stop = inject(world, {
    after: 0,
    fault: "daemon stopped",
    target: daemon,
    duration: 0,
  });
  await sleep(150);
  // The balancer has not noticed yet.
  calls.push(sendChat(world, chatOf(world, { prompt: "late [[tokens=9]]" })));
  await Promise.all([...calls, ...slow, stop]);
}

/** Operators race through two daemons, several times. */
export async function raceOperators(world: World): Promise<void> {
  // Widens the time between the reading of the head and its replacement.
  const slow = inject(world, {
    after: 0,
    fault: "platform fault",
    target: "platform",
    duration: 6_000,
    change: { delay: 100 },
  });
  await sleep(200);
  for (const round of [1, 2, 3]) {
    const held = await observe(world, world.daemons[0] ?? "");
    await Promise.all(
      world.daemons.map((daemon, index) =>
        applyChange(world, {
          daemon,
          change: `race-${round}-${index}`,
          marker: 1_000 + round * 10 + index,
          expect: held?.version ?? 0,
        })
      ),
    );
    await sleep(1_500);
  }
  await slow;
}

/** A change is applied at one daemon; the others must follow in time. */
export async function spreadChange(world: World): Promise<void> {
  await applyChange(world, {
    daemon: world.daemons[0] ?? "",
    change: "spread-1",
    marker: 2_001,
  });
  await sleep(7_000);
}

/** A daemon restarts in an outage of the platform while its peers live. */
export async function restartInOutage(world: World): Promise<void> {
  const [first = "", second = ""] = world.daemons;
  await applyChange(world, { daemon: first, change: "kept-1", marker: 3_001 });
  await sleep(3_000);
  const outage = inject(world, {
    after: 0,
    fault: "platform fault",
    target: "platform",
    duration: 9_000,
    change: { outage: true },
  });
  await sleep(200);
  await inject(world, {
    after: 0,
    fault: "daemon killed",
    target: second,
    duration: 100,
  });
  await observe(world, second);
  await outage;
}
