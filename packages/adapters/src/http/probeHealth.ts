/**
 * Asks a server for a sign of life over a new connection. A kept one would tell nothing: it may
 * be the very connection that went silent.
 */
import type { HttpConnections } from './HttpConnections.js';
import type { ProbeResponse } from '../ProbeResponse.js';
import { MAX_JSON_BYTES, readBytes, requireSuccess } from './readAnswer.js';

/** Longest name of an incarnation that is taken; anything longer is no name. */
const MAX_INCARNATION_CHARACTERS = 200;

/** A server that answers in another shape is alive all the same: it only tells no incarnation. */
function readIncarnation(text: string): string | undefined {
  try {
    const value = (JSON.parse(text) as { readonly incarnation?: unknown } | null)?.incarnation;
    const isValid =
      typeof value === 'string' && value !== '' && value.length <= MAX_INCARNATION_CHARACTERS;
    return isValid ? value : undefined;
  } catch {
    return undefined;
  }
}

export async function probeHealth(
  connections: HttpConnections,
  signal: AbortSignal,
): Promise<ProbeResponse> {
  const answer = await connections.sendOnNewConnection({ method: 'GET', path: '/health', signal });
  await requireSuccess(answer);
  const incarnation = readIncarnation((await readBytes(answer, MAX_JSON_BYTES)).toString('utf8'));
  return incarnation === undefined ? {} : { incarnation };
}
