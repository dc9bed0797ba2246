/**
 * Names what is quarantined of prompts: one part, or several of which a prompt must hold all, in one
 * pool. Such a name stands beside the digests of requests wherever quarantines are kept or sent.
 */

/** Parts in a pool; a prompt that holds all of them is quarantined there. */
export interface PartSet {
  readonly pool: string;
  readonly parts: readonly string[];
}

/** Digests of requests are hexadecimal, so none begins like this. */
const KEY_PREFIX = 'parts:';

export function toPartKey({ pool, parts }: PartSet): string {
  return KEY_PREFIX + JSON.stringify([pool, ...[...parts].sort()]);
}

function parseNames(text: string): readonly unknown[] {
  try {
    const names: unknown = JSON.parse(text);
    return Array.isArray(names) ? names : [];
  } catch {
    return [];
  }
}

/** Returns undefined for the digest of a request, and for a name that cannot be read. */
export function parsePartKey(key: string): PartSet | undefined {
  if (!key.startsWith(KEY_PREFIX)) return undefined;
  const names = parseNames(key.slice(KEY_PREFIX.length));
  const [pool, ...parts] = names.filter((name) => typeof name === 'string');
  const isReadable = parts.length > 0 && parts.length + 1 === names.length;
  return pool === undefined || !isReadable ? undefined : { pool, parts };
}
