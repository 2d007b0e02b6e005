/**
 * In-memory transactional tables with the version rules of the table service:
 * each write of a key gets a higher version, and a deletion does not restart it.
 */
import type {
  Commit,
  Json,
  Row,
  RowCheck,
  RowKey,
  RowPage,
  RowRange,
  Transaction,
} from "./platform.ts";

export type TransactionOutcome =
  | { readonly kind: "committed"; readonly commit: Commit }
  | { readonly kind: "conflict"; readonly rows: readonly (Row | RowCheck)[] };

export abstract class TableStore {
  /** Applies all writes, or none when a check does not hold. */
  abstract transact(transaction: Transaction): TransactionOutcome;
  abstract readRow(key: RowKey): Row | undefined;
  abstract readRows(range: RowRange): RowPage;
}

interface StoredRow {
  readonly version: number;
  /** Serialised JSON, so that callers cannot change a stored value. */
  readonly text: string;
}

export function createTableStore(): TableStore {
  const tables = new Map<string, Map<string, StoredRow>>();
  // One counter for all rows keeps versions increasing after a deletion without
  // a record of deleted keys.
  let lastVersion = 0;

  function getTable(name: string): Map<string, StoredRow> {
    const table = tables.get(name) ?? new Map<string, StoredRow>();
    tables.set(name, table);
    return table;
  }

  function readRow({ table, key }: RowKey): Row | undefined {
    const row = getTable(table).get(key);
    return row === undefined ? undefined : parseRow({ table, key }, row);
  }

  function write(key: RowKey, value: Json): RowCheck {
    lastVersion += 1;
    const table = getTable(key.table);
    if (value === null) table.delete(key.key);
    else {
      table.set(key.key, {
        version: lastVersion,
        text: JSON.stringify(value),
      });
    }
    const version = value === null ? 0 : lastVersion;
    return { table: key.table, key: key.key, version };
  }

  return new (class extends TableStore {
    override transact({ checks, writes }: Transaction): TransactionOutcome {
      const failed = checks.filter((check) =>
        (readRow(check)?.version ?? 0) !== check.version
      );
      if (failed.length > 0) {
        const rows = failed.map(({ table, key }) =>
          readRow({ table, key }) ?? { table, key, version: 0 }
        );
        return { kind: "conflict", rows };
      }
      const versions = writes.map((row) => write(row, row.value));
      return { kind: "committed", commit: { versions } };
    }

    override readRow(key: RowKey): Row | undefined {
      return readRow(key);
    }

    override readRows(range: RowRange): RowPage {
      const keys = [...getTable(range.table).keys()]
        .filter((key) => key.startsWith(range.prefix))
        .filter((key) => range.after === undefined || key > range.after)
        .sort();
      const rows = keys.slice(0, range.limit).flatMap((key) =>
        readRow({ table: range.table, key }) ?? []
      );
      return { rows, more: keys.length > range.limit };
    }
  })();
}

function parseRow(key: RowKey, row: StoredRow): Row {
  return {
    table: key.table,
    key: key.key,
    version: row.version,
    value: JSON.parse(row.text) as Json,
  };
}
