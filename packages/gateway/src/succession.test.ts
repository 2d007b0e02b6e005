import { expect } from "earl";
import { test } from "node:test";
import type { AttemptOutcome } from "./attempt_watch.ts";
import { createSuccession, type Reception } from "./succession.ts";

const REFUSED: AttemptOutcome = { kind: "unsent", reason: "refused" };

/** A succession whose replicas answer when the test says so. */
function setUp() {
  const log: string[] = [];
  const opened: {
    readonly name: string;
    readonly reception: Promise<Reception<string>>;
    readonly receive: (reception: Reception<string>) => void;
  }[] = [];
  let gate = Promise.resolve();
  const succession = createSuccession<string, (typeof opened)[number]>({
    async open(isWanted) {
      await gate;
      if (!isWanted()) return undefined;
      let receive = (_: Reception<string>) => {};
      const reception = new Promise<Reception<string>>((resolve) =>
        receive = resolve
      );
      const attempt = { name: `a${opened.length}`, reception, receive };
      opened.push(attempt);
      return attempt;
    },
    settle: ({ name }) => log.push(`${name} settled`),
    cancel: ({ name }) => log.push(`${name} cancelled`),
  });
  const seek = () => succession.seek(() => log.push("left"));
  return {
    ...{ log, opened, succession, seek },
    holdOpening(until: Promise<void>) {
      gate = until;
    },
  };
}

const turn = () => new Promise((resolve) => setImmediate(resolve));

test("the present attempt is left once another replica has accepted", async () => {
  const { log, opened, succession, seek } = setUp();
  void seek();
  await turn();
  expect(log).toEqual([]);
  opened[0]?.receive({ kind: "accepted", head: "" });
  await turn();
  expect(log).toEqual(["left"]);
  // The last bytes of the attempt that was left.
  succession.keepPresent();
  expect(succession.take()?.name).toEqual("a0");
  expect(log).toEqual(["left"]);
});

test("a refusal ends the search, and a later one begins anew", async () => {
  const { log, opened, seek } = setUp();
  void seek();
  void seek();
  await turn();
  expect(opened.length).toEqual(1);
  opened[0]?.receive({ kind: "ended", outcome: REFUSED });
  await turn();
  expect(log).toEqual(["a0 settled"]);
  void seek();
  await turn();
  expect(opened.length).toEqual(2);
});

test("the present attempt goes on, and the other one is cancelled", async () => {
  const { log, opened, succession, seek } = setUp();
  void seek();
  await turn();
  succession.keepPresent();
  opened[0]?.receive({ kind: "ended", outcome: REFUSED });
  await turn();
  expect(log).toEqual(["a0 cancelled"]);
  expect(succession.take()).toEqual(undefined);
});

test("nothing is sent when the present attempt goes on before", async () => {
  const { log, opened, succession, seek, holdOpening } = setUp();
  let open = () => {};
  holdOpening(new Promise((resolve) => open = resolve));
  void seek();
  succession.keepPresent();
  open();
  await turn();
  expect([opened.length, log]).toEqual([0, []]);
});

test("an attempt without an answer yet can replace a broken one", async () => {
  const { log, opened, succession, seek } = setUp();
  void seek();
  await turn();
  expect(succession.take()?.name).toEqual("a0");
  opened[0]?.receive({ kind: "accepted", head: "" });
  await turn();
  expect(log).toEqual([]);
});

test("the end of the request cancels an accepted attempt too", async () => {
  const { log, opened, succession, seek } = setUp();
  void seek();
  await turn();
  opened[0]?.receive({ kind: "accepted", head: "" });
  await turn();
  succession.close();
  expect(log).toEqual(["left", "a0 cancelled"]);
});
