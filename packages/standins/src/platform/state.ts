/**
 * State of the platform stand-in: rows, objects and the list of VMs.
 */
import {
  createTableStore,
  type ListedVm,
  type Row,
  type RowCheck,
} from "@peridotvalve/tables";
import { ROW_RANGE, TRANSACTION, VM_LIST } from "./requests.ts";

export interface CallResponse {
  readonly status: number;
  /** A buffer is sent as it is, any other value as JSON. */
  readonly body: unknown;
}

export interface Call {
  readonly method: string;
  /** URL-decoded segments of the path. */
  readonly path: readonly string[];
  readonly query: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

export abstract class PlatformState {
  abstract setVms(vms: readonly ListedVm[]): void;
  /** Runs a call. `vmListLag` is in milliseconds. */
  abstract answer(call: Call, vmListLag: number): CallResponse;
}

/** A list of VMs and the time in milliseconds from which it is valid. */
interface VmSnapshot {
  readonly at: number;
  readonly vms: readonly ListedVm[];
}

export function createPlatformState(now: () => number): PlatformState {
  const store = createTableStore();
  const objects = new Map<string, Buffer>();
  const snapshots: VmSnapshot[] = [];

  function transact(body: Buffer): CallResponse {
    const parsed = TRANSACTION.safeParse(parseJson(body));
    if (!parsed.success) return refuse(400, parsed.error.message);
    const result = store.transact(parsed.data);
    if (result.kind === "committed") {
      return { status: 200, body: result.commit };
    }
    const conflicts = result.rows.map(toConflict);
    return { status: 409, body: { conflicts } };
  }

  function putObject(name: string, body: Buffer): CallResponse {
    const present = objects.get(name);
    if (present === undefined) {
      objects.set(name, body);
      return { status: 201, body: {} };
    }
    if (present.equals(body)) return { status: 200, body: {} };
    return refuse(409, "object has other content");
  }

  function readObject(name: string): CallResponse {
    const content = objects.get(name);
    if (content === undefined) return refuse(404, "no such object");
    return { status: 200, body: content };
  }

  function readRow(table: string, key: string): CallResponse {
    const row = store.readRow({ table, key });
    if (row === undefined) return refuse(404, "no such row");
    return { status: 200, body: { value: row.value, version: row.version } };
  }

  function readRows(table: string, query: unknown): CallResponse {
    const parsed = ROW_RANGE.safeParse(query);
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

  function readVms(lag: number): CallResponse {
    const at = now() - lag;
    const vms = snapshots.findLast((list) => list.at <= at)?.vms ?? [];
    return { status: 200, body: { at, vms } };
  }

  return new (class extends PlatformState {
    override setVms(vms: readonly ListedVm[]): void {
      snapshots.push({ at: now(), vms });
    }

    override answer(call: Call, vmListLag: number): CallResponse {
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
          const vms = VM_LIST.safeParse(parseJson(body));
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

export function refuse(status: number, message: string): CallResponse {
  return { status, body: { error: message } };
}

export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function toConflict(row: Row | RowCheck): unknown {
  return "value" in row ? row : { ...row, value: null };
}
