import { type Deployment, startDeployment } from "@peridotvalve/testbed";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { after, before, test } from "node:test";

const DAEMON = "espoo-1";
const REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

let deployment: Deployment;
const runs: string[] = [];
/** Answers that are written once more where the next one is due. */
const copies = new Map<Socket, string>();

/** A service that refuses its first order and repeats that answer. */
const service = createServer((request, response) => {
  request.resume().once("end", () => {
    const key = keyOf(request);
    const { socket } = request;
    const copy = copies.get(socket);
    if (copy !== undefined) socket.write(copy);
    copies.delete(socket);
    if (key === "order-1") {
      copies.set(socket, REFUSAL);
      response.writeHead(503, { "content-length": "4" }).end("full");
      return;
    }
    runs.push(key);
    response.writeHead(201).end(`answer to ${key}`);
  });
});

function keyOf({ headers }: IncomingMessage): string {
  return String(headers["idempotency-key"]);
}

async function placeOrder(idempotencyKey: string) {
  const url = `http://${deployment.addressOf(DAEMON)}/services/bookings/orders`;
  const answer = await fetch(url, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${Object.values(deployment.keys)[0] ?? ""}`,
      "idempotency-key": idempotencyKey,
    },
    body: "{}",
  });
  return { status: answer.status, text: await answer.text() };
}

before(async () => {
  deployment = await startDeployment({
    example: "examples/koiratakki",
    daemons: [DAEMON],
  });
  // Takes the place of the stand-ins of the service.
  for (const name of ["bookings-1", "bookings-2"]) {
    await deployment.processes.get(name)?.kill();
  }
  const port = Number(deployment.addressOf("bookings-1").split(":")[1]);
  service.listen(port, "127.0.0.1");
  await once(service, "listening");
});

after(async () => {
  service.closeAllConnections();
  service.close();
  await deployment.stop();
});

// Guards against an order that runs while its caller is told that it was refused:
// plain services return no id, so a copy of an earlier answer on the connection is
// taken for the answer to the order.
test("an order is not answered with a copy of an earlier answer", async () => {
  expect((await placeOrder("order-1")).status).toEqual(503);
  expect(await placeOrder("order-2")).toEqual({
    ...{ status: 201, text: "answer to order-2" },
  });
  expect(runs).toEqual(["order-2"]);
});
