/** Reads and checks a table from a TOML file, so that faults are found before it is sent. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { checkPools, checkRoutes, tableNames, type TableName } from '@hornbeampond/schema';
import { UsageError } from './Command.js';

export function parseTableName(word: string | undefined): TableName {
  const table = tableNames.find((name) => name === word);
  if (table === undefined) throw new UsageError([`name a table: ${tableNames.join(' or ')}`]);
  return table;
}

/** The rows of `[[routes]]` or `[[pools]]` in a file. */
export function readTableFile(table: TableName, file: string | undefined): readonly unknown[] {
  if (file === undefined) throw new UsageError(['name the TOML file that holds the table']);
  let values: Record<string, unknown>;
  try {
    values = parse(readFileSync(file, 'utf8'));
  } catch (error) {
    throw new UsageError([`${file}: ${error instanceof Error ? error.message : String(error)}`]);
  }
  const unexpectedKeys = Object.keys(values).filter((key) => key !== table);
  if (unexpectedKeys.length > 0)
    throw new UsageError([`${file}: only [[${table}]] is allowed in this file`]);
  const rows = values[table] ?? [];
  const checked = table === 'routes' ? checkRoutes(rows) : checkPools(rows);
  if (checked.ok) return checked.rows;
  throw new UsageError(checked.faults.map(({ where, reason }) => `${file}: ${where}: ${reason}`));
}
