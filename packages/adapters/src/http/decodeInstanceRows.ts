/**
 * Decodes the rows of the lists that the platform answers with, each by itself, since another writer may
 * have left one that is odd.
 */
import type {
  PlatformInstance,
  SkippedInstance,
  UnreadableInstanceReason,
} from '@hornbeampond/schema';
import { cutName } from '../KnownInstances.js';
import type { ReclaimNotice } from '../PlatformAdapter.js';
import { noticeSchema, platformInstanceSchema } from './wireSchemas.js';

const reasonByField: Readonly<Record<keyof PlatformInstance, UnreadableInstanceReason>> = {
  instance: 'name',
  dataCentre: 'dataCentre',
  instanceClass: 'instanceClass',
  pool: 'pool',
  state: 'state',
  host: 'address',
  port: 'address',
  goneAt: 'goneAt',
  startToken: 'startToken',
  version: 'version',
  concurrency: 'concurrency',
};

function findName(row: unknown): { readonly name?: string } {
  const isNamed = typeof row === 'object' && row !== null && 'instance' in row;
  return isNamed && typeof row.instance === 'string' ? { name: cutName(row.instance) } : {};
}

/** Returns the instances of the rows that can be used; adds the others to `skipped`. */
export function decodeInstanceRows(
  rows: readonly unknown[],
  skipped: SkippedInstance[],
): PlatformInstance[] {
  return rows.flatMap((row) => {
    const parsed = platformInstanceSchema.safeParse(row);
    if (parsed.success) return [parsed.data];
    const field = parsed.error.issues[0]?.path[0];
    const reason =
      field === undefined ? 'noFields' : reasonByField[field as keyof PlatformInstance];
    skipped.push({ reason, ...findName(row) });
    return [];
  });
}

/** The same for notices. */
export function decodeNotices(
  rows: readonly unknown[],
  skipped: SkippedInstance[],
): ReclaimNotice[] {
  return rows.flatMap((row) => {
    const parsed = noticeSchema.safeParse(row);
    if (parsed.success) return [parsed.data];
    skipped.push({ reason: 'notice', ...findName(row) });
    return [];
  });
}
