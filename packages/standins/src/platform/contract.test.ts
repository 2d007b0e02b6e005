/**
 * Contract tests of both implementations of `Platform`: the memory platform,
 * and the HTTP client against the stand-in.
 */
import {
  createHttpPlatform,
  createMemoryPlatform,
  type ListedVm,
  type Platform,
} from "@peridotvalve/tables";
import { expect } from "earl";
import { test } from "node:test";
import { startPlatformStandin } from "./server.ts";

const TIMEOUT_MILLISECONDS = 10_000;
const VM: ListedVm = {
  name: "e-1",
  address: "127.0.0.1:1",
  zone: "espoo",
  state: "live",
  incarnation: "a",
};

interface Faults {
  readonly outage?: boolean;
  readonly loseNextAnswers?: number;
  readonly delay?: number;
}

interface Fixture {
  readonly platform: Platform;
  readonly setFaults: (faults: Faults) => Promise<void>;
  readonly close: () => Promise<void>;
}

function createMemoryFixture(): Promise<Fixture> {
  const platform = createMemoryPlatform();
  platform.setVms([VM]);
  return Promise.resolve({
    platform,
    setFaults: (faults) => Promise.resolve(platform.setFaults(faults)),
    close: () => Promise.resolve(),
  });
}

async function createHttpFixture(): Promise<Fixture> {
  const standin = await startPlatformStandin({ vms: [VM] });
  const origin = `http://${standin.address}`;
  const platform = createHttpPlatform({ address: origin });
  return {
    platform,
    setFaults: async (faults) => {
      const body = JSON.stringify(faults);
      await fetch(`${origin}/control/faults`, { method: "POST", body });
    },
    close: async () => {
      await platform.close();
      await standin.close();
    },
  };
}

const IMPLEMENTATIONS = {
  memory: createMemoryFixture,
  http: createHttpFixture,
};

for (const [name, createFixture] of Object.entries(IMPLEMENTATIONS)) {
  const contract = (
    title: string,
    body: (fixture: Fixture) => Promise<void>,
  ) => {
    test(`${name}: ${title}`, async () => {
      const fixture = await createFixture();
      try {
        await body(fixture);
      } finally {
        await fixture.close();
      }
    });
  };

  contract("a failed check leaves all rows unchanged", async (fixture) => {
    const { platform } = fixture;
    const first = { table: "t", key: "a/b ?", value: { n: 1 } };
    const done = await platform.transact({
      id: "1",
      checks: [{ table: "t", key: "a/b ?", version: 0 }],
      writes: [first, { table: "t", key: "b", value: "x" }],
    }, TIMEOUT_MILLISECONDS);
    expect(done.kind).toEqual("done");
    const conflict = await platform.transact({
      id: "2",
      checks: [
        { table: "t", key: "a/b ?", version: 0 },
        { table: "t", key: "c", version: 7 },
      ],
      writes: [{ table: "t", key: "b", value: null }],
    }, TIMEOUT_MILLISECONDS);
    const row = (await platform.readRow(first, TIMEOUT_MILLISECONDS)).unwrap();
    expect(row?.value).toEqual({ n: 1 });
    expect(conflict).toEqual({
      kind: "not done",
      reason: {
        kind: "conflict",
        rows: [row!, { table: "t", key: "c", version: 0 }],
      },
    });
    const page = (await platform.readRows(
      { table: "t", prefix: "", limit: 1 },
      TIMEOUT_MILLISECONDS,
    )).unwrap();
    expect(page).toEqual({ rows: [row!], more: true });
    const next = (await platform.readRows(
      { table: "t", prefix: "", after: "a/b ?", limit: 5 },
      TIMEOUT_MILLISECONDS,
    )).unwrap();
    expect(next.rows.map((each) => each.key)).toEqual(["b"]);
    expect(next.more).toEqual(false);
  });

  contract("versions increase across deletion", async ({ platform }) => {
    const key = { table: "t", key: "k" };
    const write = async (value: string | null) => {
      const writes = [{ ...key, value }];
      await platform.transact(
        { id: "w", checks: [], writes },
        TIMEOUT_MILLISECONDS,
      );
      return (await platform.readRow(key, TIMEOUT_MILLISECONDS)).unwrap()
        ?.version;
    };
    const before = await write("1");
    expect(await write(null)).toEqual(undefined);
    const after = await write("2");
    expect(after! > before!).toEqual(true);
  });

  contract("objects are immutable", async ({ platform }) => {
    const object = { name: "c/1", content: '{"a":"ö"}' };
    expect((await platform.putObject(object, TIMEOUT_MILLISECONDS)).kind)
      .toEqual("done");
    expect((await platform.putObject(object, TIMEOUT_MILLISECONDS)).kind)
      .toEqual("done");
    const other = await platform.putObject(
      { ...object, content: "2" },
      TIMEOUT_MILLISECONDS,
    );
    expect(other.kind).toEqual("not done");
    const content = await platform.readObject("c/1", TIMEOUT_MILLISECONDS);
    expect(content.unwrap()).toEqual(object.content);
    const absent = await platform.readObject("c/2", TIMEOUT_MILLISECONDS);
    expect(absent.unwrap()).toEqual(undefined);
  });

  contract("the VM list is returned", async ({ platform }) => {
    expect((await platform.readVms(TIMEOUT_MILLISECONDS)).unwrap().vms).toEqual(
      [VM],
    );
  });

  contract("commands in an outage have no effect", async (fixture) => {
    const { platform } = fixture;
    const writes = [{ table: "t", key: "k", value: 1 }];
    await fixture.setFaults({ outage: true });
    const refused = await platform.transact(
      { id: "1", checks: [], writes },
      TIMEOUT_MILLISECONDS,
    );
    expect(refused.kind).toEqual("not done");
    const key = { table: "t", key: "k" };
    expect((await platform.readRow(key, TIMEOUT_MILLISECONDS)).isErr()).toEqual(
      true,
    );
    await fixture.setFaults({ outage: false });
    const row = await platform.readRow(key, TIMEOUT_MILLISECONDS);
    expect(row.unwrap()).toEqual(undefined);
  });

  contract("a lost response is unknown and takes effect", async (fixture) => {
    const { platform } = fixture;
    const writes = [{ table: "t", key: "k", value: 1 }];
    await fixture.setFaults({ loseNextAnswers: 1 });
    const lost = await platform.transact(
      { id: "1", checks: [], writes },
      TIMEOUT_MILLISECONDS,
    );
    expect(lost.kind).toEqual("unknown");
    const row = await platform.readRow(
      { table: "t", key: "k" },
      TIMEOUT_MILLISECONDS,
    );
    expect(row.unwrap()?.value).toEqual(1);
  });

  contract("a command after its timeout is unknown", async (fixture) => {
    const { platform } = fixture;
    const writes = [{ table: "t", key: "k", value: 1 }];
    await fixture.setFaults({ delay: 300 });
    const late = await platform.transact({ id: "1", checks: [], writes }, 50);
    expect(late.kind).toEqual("unknown");
  });
}
