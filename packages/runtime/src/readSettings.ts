/**
 * Reads and validates a TOML settings file. All faults are returned together, each with its key.
 */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { describeIssue, type Fault } from '@hornbeampond/schema';
import type { z } from 'zod';

/** The valid settings, or all faults that were found. */
export type SettingsResult<Settings> =
  | { readonly ok: true; readonly settings: Settings }
  | { readonly ok: false; readonly faults: readonly Fault[] };

function formatKeyPath(path: readonly PropertyKey[]): string {
  return path.length === 0
    ? '(file)'
    : path
        .map((key, index) => {
          if (typeof key === 'number') return `[${key + 1}]`;
          return index === 0 ? String(key) : `.${String(key)}`;
        })
        .join('');
}

/** Validates parsed settings. */
export function checkSettings<Schema extends z.ZodType>(
  schema: Schema,
  values: unknown,
): SettingsResult<z.infer<Schema>> {
  const parsed = schema.safeParse(values);
  if (parsed.success) return { ok: true, settings: parsed.data };
  const faults = parsed.error.issues.map((issue) => ({
    where: formatKeyPath(issue.path),
    reason: describeIssue(issue),
  }));
  return { ok: false, faults };
}

/** Reads and validates a settings file; a file that cannot be read or parsed is one fault. */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
): SettingsResult<z.infer<Schema>> {
  let values: unknown;
  try {
    values = parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { ok: false, faults: [{ where: file, reason }] };
  }
  return checkSettings(schema, values);
}
