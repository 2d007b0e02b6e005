// A daemon that is cut from the store takes the list of replicas from a peer.
// The peer has restarted after a replica left, so it does not know of that.
import { appendFileSync, writeFileSync } from "node:fs";
import { send } from "../standins/client.mjs";
import { BOUNDS, createFleet } from "../standins/daemon.mjs";
import { sleep, waitFor } from "../standins/net.mjs";
import { composeState } from "../standins/operator.mjs";
import { startProxy } from "../standins/proxy.mjs";
import { startReplica } from "../standins/replica.mjs";
import { startStore } from "../standins/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const RECORD = new URL("record.txt", import.meta.url);

const CUT_MS = 5_500;
const POWER_OFF_MS = 3_500;
const REQUEST_PERIOD_MS = 25;
const WORK_MS = 150;
/** Time for which the leaving replica serves on after its entry is removed. */
const SERVES_ON_MS = 14_000;

const start = performance.now();
writeFileSync(RECORD, "");
function record(text) {
  const at = ((performance.now() - start) / 1_000).toFixed(3);
  appendFileSync(RECORD, `${at.padStart(8)} s  ${text}\n`);
}

const arrivals = [];
async function runOrder({ request, response, headers, self }) {
  const id = request.headers["request-id"];
  arrivals.push({ id, replica: self.id, at: performance.now() });
  record(`${id} runs at ${self.id}`);
  await sleep(WORK_MS);
  response.writeHead(201, headers);
  response.end(`order of ${id}`);
}

const store = await startStore();
const proxy = await startProxy(store.address);
const fleet = await createFleet({ store });
const replicas = [];
let exitCode = 2;
try {
  store.put("op", "config", composeState(5));
  for (const id of ["shop-1", "shop-2", "shop-3", "shop-4"]) {
    replicas.push(
      await startReplica(store, {
        ...{ id, service: "shop-app", respond: runOrder },
      }),
    );
  }
  const cut = await fleet.start("front-1", "espoo", { store: proxy.address });
  const peer = await fleet.start("front-2");
  await sleep(4_000);

  const answers = [];
  let sent = 0;
  const sending = setInterval(() => {
    sent += 1;
    answers.push(
      send({ host: cut.host, port: fleet.ports.front }, {
        ...{ id: `o${sent}`, path: "/orders/1", body: "{}", deadline: 2_000 },
      }).then((answer) => {
        const { id, status, error = "" } = answer;
        record(`${id} by front-1: ${status} ${error}`);
        return answer;
      }),
    );
  }, REQUEST_PERIOD_MS);
  await sleep(1_000);

  if (HAS_TROUBLE) {
    record("front-1 is cut from the store");
    proxy.cut();
  }
  const cutAt = performance.now();
  await sleep(300);
  if (HAS_TROUBLE) {
    record("front-2 loses power");
    peer.child.kill("SIGKILL");
  }
  await sleep(700);
  const [, , leaver] = replicas;
  leaver.unlist();
  const removedAt = performance.now();
  record("the store has removed the entry of shop-3, which serves on");
  if (HAS_TROUBLE) {
    await sleep(POWER_OFF_MS - 700);
    peer.restart();
    await waitFor(peer.isReady, 10_000);
    record("front-2 is ready again");
  }
  await sleep(Math.max(0, cutAt + CUT_MS - performance.now()));
  proxy.heal();
  const healedAt = performance.now();
  record("the cut has healed");
  await sleep(removedAt + SERVES_ON_MS - performance.now());
  record("shop-3 exits");
  leaver.close();
  await sleep(1_000);
  clearInterval(sending);
  const results = await Promise.all(answers);

  // In touch from `contact_ms` after the last disruption.
  const inTouchAt = HAS_TROUBLE ? healedAt + BOUNDS.contact_ms : -Infinity;
  const sentAt = new Map(results.map(({ id, sentAt: at }) => [id, at]));
  const late = arrivals.filter(({ id, replica, at }) => {
    const isLate = at > removedAt + BOUNDS.drain_ms &&
      sentAt.get(id) > inTouchAt;
    return replica === leaver.id && isLate;
  });
  const lost = results.filter(({ id, status }) =>
    late.some((arrival) => arrival.id === id) && status !== 201
  );
  const served = results.filter(({ status }) => status === 201).length;
  record(`${sent} requests sent, ${served} answered with success`);
  record(`${late.length} requests reached shop-3 too late`);
  for (const { id, at } of late.slice(0, 5)) {
    const after = Math.round(at - removedAt);
    record(`DRAIN: ${id} reached shop-3 ${after} ms after the removal`);
  }
  for (const { id, status } of lost) {
    record(`LATER LOST: ${id} ran at shop-3 and was answered ${status}`);
  }
  if (served < sent / 2) record("could not run: most requests were not served");
  else exitCode = late.length > 0 ? 1 : 0;
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  record(`exit code ${exitCode}`);
  fleet.close();
  for (const replica of replicas) replica.close();
  proxy.close();
  store.close();
}
process.exit(exitCode);
