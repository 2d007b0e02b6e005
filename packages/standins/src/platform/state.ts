/**
 * What the platform stand-in holds: rows, objects and the list of VMs.
 */
import {
  createTableStore,
  type ListedVm,
  type Row,
  type RowCheck,
} from "@peridotvalve/tables";
import { RANGE, TRANSACTION, VMS } from "./requests.ts";

export interface Answer {
  readonly status: number;
  /** Sent as JSON, unless it is a buffer. */
  readonly body: unknown;
}

export interface Call {
  readonly method: string;
  /** Decoded segments of the path. */
  readonly path: readonly string[];
  readonly query: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

export abstract class PlatformState {
  abstract setVms(vms: readonly ListedVm[]): void;
  abstract answer(call: Call, vmListLag: number): Answer;
}

interface DatedVms {
  readonly at: number;
  readonly vms: readonly ListedVm[];
}

export function createPlatformState(now: () => number): PlatformState {
  const store = createTableStore();
  const objects = new Map<string, Buffer>();
  const vmLists: DatedVms[] = [];

  function transact(body: Buffer): Answer {
    const parsed = TRANSACTION.safeParse(parseJson(body));
    if (!parsed.success) return refuse(400, parsed.error.message);
    const answer = store.transact(parsed.data);
    if (answer.kind === "committed") {
      return { status: 200, body: answer.commit };
    }
    const conflicts = answer.rows.map(withValue);
    return { status: 409, body: { conflicts } };
  }

  function putObject(name: string, body: Buffer): Answer {
    const present = objects.get(name);
    if (present === undefined) {
      objects.set(name, body);
      return { status: 201, body: {} };
    }
    if (present.equals(body)) return { status: 200, body: {} };
    return refuse(409, "object has other content");
  }

  function readObject(name: string): Answer {
    const content = objects.get(name);
    if (content === undefined) return refuse(404, "no such object");
    return { status: 200, body: content };
  }

  function readRow(table: string, key: string): Answer {
    const row = store.readRow({ table, key });
    if (row === undefined) return refuse(404, "no such row");
    return { status: 200, body: { value: row.value, version: row.version } };
  }

  function readRows(table: string, query: unknown): Answer {
    const parsed = RANGE.safeParse(query);
    if (!parsed.success) return refuse(400, parsed.error.message);
    const { prefix, after, limit } = parsed.data;
    const page = store.readRows({
      table,
      prefix,
      limit,
      ...(after === undefined ? {} : { after }),
    });
    const rows = page.rows.map(({ key, value, version }) => ({
      key,
      value,
      version,
    }));
    return { status: 200, body: { rows, more: page.more } };
  }

  function readVms(lag: number): Answer {
    const at = now() - lag;
    const vms = vmLists.findLast((list) => list.at <= at)?.vms ?? [];
    return { status: 200, body: { at, vms } };
  }

  return new (class extends PlatformState {
    override setVms(vms: readonly ListedVm[]): void {
      vmLists.push({ at: now(), vms });
    }

    override answer(call: Call, vmListLag: number): Answer {
      const { method, path, query, body } = call;
      const [collection, name = "", key = ""] = path;
      switch (`${method} ${collection} ${path.length}`) {
        case "POST tables 2":
          return transact(body);
        case "GET tables 2":
          return readRows(name, query);
        case "GET tables 3":
          return readRow(name, key);
        case "PUT objects 2":
          return putObject(name, body);
        case "GET objects 2":
          return readObject(name);
        case "GET vms 1":
          return readVms(vmListLag);
        case "POST control 2": {
          const vms = VMS.safeParse(parseJson(body));
          if (!vms.success) return refuse(400, vms.error.message);
          this.setVms(vms.data);
          return { status: 200, body: {} };
        }
        default:
          return refuse(404, "no such path");
      }
    }
  })();
}

export function refuse(status: number, message: string): Answer {
  return { status, body: { error: message } };
}

export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function withValue(row: Row | RowCheck): unknown {
  return "value" in row ? row : { ...row, value: null };
}
