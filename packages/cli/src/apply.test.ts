import { expect } from "earl";
import { join } from "node:path";
import { test } from "node:test";
import { EXAMPLE, runAgainst, runCommand } from "./run_command.ts";
import {
  BROKEN_CONNECTION,
  createFakeListener,
  type FakeCall,
  type FakeResponse,
  NO_RESPONSE,
  ok,
} from "./fake_operators_listener.ts";

const FOLDER = join(EXAMPLE, "operators");
const APPLY = ["config", "apply", FOLDER, "--wait", "600", "--deadline", "300"];

const ADOPTED = ok({ daemons: [], lagging: [] });

function changeOf(calls: readonly FakeCall[]): string {
  return (calls[0]?.body as { change: string }).change;
}

test("apply succeeds once no daemon lags", async () => {
  let polls = 0;
  const result = await runAgainst([...APPLY, "--expect", "6"], {
    script: ({ target }) => {
      if (target === "POST /configuration") {
        return ok({ outcome: "accepted", version: 7 });
      }
      polls += 1;
      return polls === 1 ? ok({ daemons: [], lagging: ["d2"] }) : ADOPTED;
    },
  });
  expect(result.code).toEqual(0);
  expect(result.output).toEqual(["version 7 accepted"]);
  const body = result.calls[0]?.body as { expect: number; content: object };
  expect(body.expect).toEqual(6);
  expect(Object.keys(body.content).includes("groups")).toEqual(true);
  expect(polls).toEqual(2);
});

test("daemons that lag after the wait are listed", async () => {
  const result = await runAgainst([...APPLY, "--json"], {
    script: ({ target }) =>
      target === "POST /configuration"
        ? ok({ outcome: "accepted", version: 7 })
        : ok({ daemons: [], lagging: ["d2", "d5"] }),
  });
  expect(result.code).toEqual(5);
  expect(JSON.parse(result.output[0] ?? "").lagging).toEqual(["d2", "d5"]);
  expect(result.errors).toEqual(["not adopted after 600 ms by: d2, d5"]);
});

test("a rejection exits with 1 and prints its reason", async () => {
  for (const status of [200, 409]) {
    const body = { outcome: "rejected", reason: "version 8 is the newest" };
    const result = await runAgainst(APPLY, {
      script: () => ({ status, body }),
    });
    expect(result.code).toEqual(1);
    expect(result.errors).toEqual(["rejected: version 8 is the newest"]);
  }
});

const LOST_RESPONSES: readonly FakeResponse[] = [
  BROKEN_CONNECTION,
  NO_RESPONSE,
  ok({ outcome: "unknown" }),
  ok({}),
];

for (const lost of LOST_RESPONSES) {
  const name = typeof lost === "symbol"
    ? lost.description
    : JSON.stringify(lost.body);
  test(`an accepted change is found after a lost response: ${name}`, async () => {
    let change = "";
    const result = await runAgainst(APPLY, {
      script: ({ target, body }) => {
        if (target === "POST /configuration") {
          change = (body as { change: string }).change;
          return lost;
        }
        if (target.startsWith("GET /configuration/lag?version=9")) {
          return ADOPTED;
        }
        return ok({ entries: [{ version: 9, change }] });
      },
    });
    expect(result.output).toEqual(["version 9 accepted"]);
    expect(result.code).toEqual(0);
  });
}

test("a change that cannot be found has an unknown outcome", async () => {
  const result = await runAgainst([...APPLY, "--json"], {
    script: ({ target }) =>
      target === "POST /configuration"
        ? BROKEN_CONNECTION
        : ok({ entries: [{ version: 3, change: "another" }] }),
  });
  expect(result.code).toEqual(3);
  const report = JSON.parse(result.output[0] ?? "");
  expect(report.outcome).toEqual("unknown");
  expect(report.change).toEqual(changeOf(result.calls));
});

test("a response that says nothing was done is unavailable, not unknown", async () => {
  const error = { message: "shutting down", ran: "no" };
  const result = await runAgainst(APPLY, {
    script: () => ({ status: 503, body: { error } }),
  });
  expect(result.code).toEqual(4);
});

test("a rejected token exits with 6 after one call", async () => {
  const result = await runAgainst(APPLY, {
    script: () => ({ status: 401, body: { error: { message: "no" } } }),
  });
  expect(result.code).toEqual(6);
  expect(result.calls.length).toEqual(1);
});

test("an invalid folder is not sent", async () => {
  const result = await runAgainst(["config", "apply", EXAMPLE], {
    script: () => ok({ outcome: "accepted", version: 1 }),
  });
  expect(result.code).toEqual(1);
  expect(result.calls).toEqual([]);
});

test("a failed connection is distinguished from a lost response", async () => {
  const token = join(EXAMPLE, "operator-token");
  const listener = await createFakeListener(() => undefined);
  await listener.close();
  const target = ["--operators", listener.address, "--token-file", token];
  const result = await runCommand([...APPLY, ...target]);
  expect(result.code).toEqual(4);
});
