/**
 * Generates the tables of docs/SETTINGS.md from the settings schemas and the meanings of their keys:
 * one row for each key, with its unit, default, bounds and meaning.
 */
import * as z from 'zod';
import {
  controllerSettingsSchema,
  entrySettingsSchema,
  storeSettingsSchema,
} from '../settings/settings.js';
import { formatMarkdownTable } from './formatMarkdownTable.js';
import { controllerMeanings, entryMeanings, storeMeanings } from './settingMeanings.js';

/** The parts of a JSON schema made by zod that are used here. */
interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly anyOf?: readonly SchemaNode[];
  readonly enum?: readonly string[];
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly pattern?: string;
  readonly format?: string;
}

/** A key with a single value, and its path in the settings. */
interface SettingKey {
  readonly path: string;
  readonly node: SchemaNode;
  readonly required: boolean;
  /** Bounds on the length of the innermost list that contains the key. */
  readonly listBounds: string;
}

function describeRange(min: number | undefined, max: number | undefined, unit: string): string {
  if (min === undefined && max === undefined) return '';
  if (max === undefined) return `at least ${min} ${unit}`.trim();
  return `${min ?? 0} to ${max} ${unit}`.trim();
}

function listKeys(node: SchemaNode, path = '', required = true, listBounds = ''): SettingKey[] {
  if (node.properties !== undefined) {
    return Object.entries(node.properties).flatMap(([name, child]) => {
      const isRequired = required && (node.required ?? []).includes(name);
      return listKeys(child, path === '' ? name : `${path}.${name}`, isRequired, listBounds);
    });
  }
  if (node.items !== undefined) {
    const bounds = describeRange(node.minItems, node.maxItems, 'rows');
    return listKeys(node.items, `${path}[]`, required && node.default === undefined, bounds);
  }
  return [{ path, node, required, listBounds }];
}

function describeUnit(path: string): string {
  if (path.endsWith('Milliseconds')) return 'ms';
  return path.endsWith('Bytes') ? 'bytes' : '';
}

function describeDefault({ node, required, path }: SettingKey): string {
  if (node.default !== undefined) return `\`${String(node.default)}\``;
  if (required) return 'required';
  return path.includes('[]') ? 'no rows' : 'none';
}

function describeBounds({ node, listBounds }: SettingKey): string {
  const valueBounds = [
    node.enum?.map((value) => `\`${value}\``).join(', ') ?? '',
    describeRange(node.minimum, node.maximum, ''),
    describeRange(node.minLength, node.maxLength, 'characters'),
    node.anyOf?.map((choice) => choice.format ?? choice.type ?? '').join(' or ') ?? '',
    node.format === 'uri' ? 'uri' : '',
    node.pattern === undefined || node.anyOf !== undefined ? '' : `\`${node.pattern}\``,
  ].filter((part) => part !== '');
  return [...valueBounds, ...(listBounds === '' ? [] : [`(${listBounds})`])].join(' ');
}

function checkMeanings(keys: readonly SettingKey[], meanings: Readonly<Record<string, string>>) {
  const paths = new Set(keys.map(({ path }) => path));
  const missing = [...paths].filter((path) => meanings[path] === undefined);
  const obsolete = Object.keys(meanings).filter((path) => !paths.has(path));
  if (missing.length > 0) throw new Error(`no meaning is given for ${missing.join(', ')}`);
  if (obsolete.length > 0) throw new Error(`no schema has ${obsolete.join(', ')}`);
}

/** Returns the table of one schema; throws if a key has no meaning or a meaning has no key. */
export function describeSchema(
  schema: z.ZodType,
  meanings: Readonly<Record<string, string>>,
): string {
  const keys = listKeys(z.toJSONSchema(schema, { io: 'input' }) as SchemaNode);
  checkMeanings(keys, meanings);
  const rows = keys.map((key) => [
    `\`${key.path}\``,
    describeUnit(key.path),
    describeDefault(key),
    describeBounds(key),
    meanings[key.path] ?? '',
  ]);
  return formatMarkdownTable(['key', 'unit', 'default', 'bounds', 'meaning'], rows);
}

export function describeSettings(): Record<string, string> {
  return {
    'settings of hornbeampond-entry': describeSchema(entrySettingsSchema, entryMeanings),
    'settings of hornbeampond-store': describeSchema(storeSettingsSchema, storeMeanings),
    'settings of hornbeampond-controller': describeSchema(
      controllerSettingsSchema,
      controllerMeanings,
    ),
  };
}
