// A caller that repeats one order, which crashes each replica that runs it, beside
// sound orders of the same caller. BUDGET: sent later than `contact_ms` after the
// third crash, the order reaches replicas in at most three retries.
import {
  composeConfig,
  createFleet,
  nextId,
  openRecord,
  route,
  send,
  sleep,
  startStore,
  TROUBLE,
} from "./deployment.mjs";
import { startReplica } from "./replica.mjs";

const CONTACT = 3_000;
const ALLOWED = 3;
const CRASHES_BEFORE = 3;

const SOUND_PERIOD = 30;
const WORK = 15;
const DEADLY_BODY = "order that crashes";

/**
 * `services` has the names of the services of the route, with three replicas
 * each; `end(call)` answers the deadly order, or not, before the replica crashes.
 */
export async function runDeadlyOrder(
  { folder, services, end, traffic, period },
) {
  const record = openRecord(folder);
  const store = await startStore();
  const zones = { espoo: "uusimaa", vaasa: "pohjanmaa", vantaa: "uusimaa" };
  const crashes = [];
  const reached = [];

  async function run(call) {
    const { response, name, replica, answered, body } = call;
    const isDeadly = body === DEADLY_BODY;
    if (isDeadly) {
      reached.push({ at: performance.now(), name });
      record(`order ${name} reaches ${replica}`);
    }
    await sleep(WORK);
    if (isDeadly && TROUBLE) return await end(call);
    if (call.isDark()) return;
    response.writeHead(200, answered);
    response.end(`done ${name}`);
  }

  const split = services.map((service) => ({ service, weight: 1 }));
  const { service: sole, ...orders } = route(
    "order-book",
    "non_idempotent",
    services[0],
    {
      ...{ timeout_ms: 1_000, target_latency_ms: 120 },
    },
  );
  store.put(
    "op",
    "config",
    composeConfig({
      routes: [
        services.length > 1
          ? { ...orders, traffic_split: split }
          : { ...orders, service: sole },
      ],
      services: services.map((name) => ({
        ...{ name, health_path: "/healthz", max_conns: 110 },
      })),
    }),
  );
  for (const service of services) {
    for (const zone of Object.keys(zones)) {
      await startReplica({
        ...{ store, service, zone, slots: 6, record, run },
        onCrash: (_, request) =>
          crashes.push({ at: performance.now(), request }),
      });
    }
  }

  const fleet = createFleet({ store, zones, limits: { memory_mb: 350 } });
  let code = 2;
  try {
    for (const zone of Object.keys(zones)) {
      await fleet.startReady(`front-${zone}-1`, { zone });
    }
    await sleep(2_000);
    const answers = {};
    const sentAt = new Map();
    let sent = 0;

    function sendOrder(isDeadly) {
      const { host, name } = fleet.daemons[sent % fleet.daemons.length];
      sent += 1;
      const id = nextId(isDeadly ? "d" : "a");
      sentAt.set(id, performance.now());
      const body = isDeadly ? DEADLY_BODY : `order ${id}`;
      if (isDeadly) record(`order ${id} is sent to ${name}`);
      return send(host, {
        ...{ id, method: "POST", path: "/order-book/a", patience: 2_000, body },
      }).then(({ status, isComplete, error }) => {
        const outcome = status > 0 && isComplete ? String(status) : "no answer";
        if (isDeadly) record(`order ${id}: ${outcome} ${error}`);
        else answers[outcome] = (answers[outcome] ?? 0) + 1;
      });
    }

    const pending = [];
    const begun = performance.now();
    let nextDeadly = begun + 3_000;
    while (performance.now() - begun < traffic) {
      pending.push(sendOrder(false));
      if (performance.now() >= nextDeadly) {
        nextDeadly += period;
        pending.push(sendOrder(true));
      }
      await sleep(SOUND_PERIOD);
    }
    await Promise.all(pending);
    const third = crashes[CRASHES_BEFORE - 1]?.at ?? Infinity;
    const late = reached.filter(({ name }) =>
      sentAt.get(name) > third + CONTACT
    ).length;
    record(
      `crashes ${crashes.length}, deadly orders that ran ${reached.length}`,
    );
    record(`sent later than ${CONTACT} ms after the third crash: ${late}`);
    record(`answers to sound orders: ${JSON.stringify(answers)}`);
    code = late > ALLOWED ? 1 : 0;
    record(code === 1 ? "BUDGET is broken" : "BUDGET holds");
  } catch (error) {
    record(`could not run: ${error.stack}`);
  } finally {
    fleet.stop();
    store.close();
  }
  process.exit(code);
}
