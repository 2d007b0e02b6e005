/**
 * Session step: sends an order twice through different daemons and checks that
 * it runs once.
 */
import {
  check,
  operatorAddressOf,
  runCommand,
  type Session,
} from "./session.ts";

const CUSTOMER = "pet-shops-uusimaa";
const FIRST_DAEMON = "espoo-1";
const SECOND_DAEMON = "vaasa-1";
const CREATED = 201;

interface RecordedCall {
  readonly customer: string | null;
  readonly idempotencyKey: string | null;
  readonly body: string;
}

export async function runOrder(session: Session): Promise<void> {
  const key = `order-${session.seed}`;
  const first = await send(session, { daemon: FIRST_DAEMON, key });
  const second = await send(session, { daemon: SECOND_DAEMON, key });
  check(
    first.status === CREATED && second.status === CREATED,
    `${key} was answered with ${first.status} and ${second.status}`,
  );
  check(first.body === second.body, `${key} got two different answers`);
  const runs = await readRuns(session, key);
  console.log(`order ${key}, sent through ${FIRST_DAEMON}, ${SECOND_DAEMON}`);
  console.log(`  both answers: ${first.status} ${first.body.trim()}`);
  for (const { service, call } of runs) {
    console.log(
      `  record of ${service}: customer ${call.customer}, ` +
        `key ${call.idempotencyKey}, body ${call.body}`,
    );
  }
  check(runs.length === 1, `${key} ran ${runs.length} times`);
  const shown = await runCommand(session, [
    ...["orders", "show", CUSTOMER, key, "--json"],
    ...["--operators", operatorAddressOf(session, SECOND_DAEMON)],
    ...["--token-file", session.deployment.tokenFile],
  ]);
  const { state } = JSON.parse(shown) as { readonly state: string };
  check(state === "finished", `the claim of ${key} is ${state}`);
  console.log(`  claim: ${state}`);
}

async function send(
  { deployment, seed }: Session,
  { daemon, key }: { readonly daemon: string; readonly key: string },
): Promise<{ readonly status: number; readonly body: string }> {
  const address = deployment.addressOf(daemon);
  const response = await fetch(`http://${address}/services/bookings/orders`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${deployment.keys[CUSTOMER]}`,
      "idempotency-key": key,
      "content-type": "application/json",
    },
    body: JSON.stringify({ coat: "rain", chest: 62, seed }),
  });
  return { status: response.status, body: await response.text() };
}

/** Reads the runs of the order from the records of all service processes. */
async function readRuns({ deployment }: Session, key: string) {
  const services = [...deployment.processes.keys()]
    .filter((name) => name.startsWith("bookings-"));
  const runs = await Promise.all(services.map(async (service) => {
    const address = deployment.addressOf(service);
    const response = await fetch(`http://${address}/control/calls`);
    const { calls } = await response.json() as {
      readonly calls: readonly RecordedCall[];
    };
    return calls
      .filter((call) => call.idempotencyKey === key)
      .map((call) => ({ service, call }));
  }));
  return runs.flat();
}
