/**
 * Sends a health probe to a server over a new connection. On a kept-alive connection, a probe
 * could fail only because that connection has stalled, although the server is healthy.
 */
import type { HttpConnections } from './HttpConnections.js';
import type { ProbeResponse } from '../ProbeResponse.js';
import { MAX_JSON_BYTES, readBytes, requireSuccess } from './readAnswer.js';

/** A longer incarnation is ignored. */
const MAX_INCARNATION_CHARACTERS = 200;

/** Returns undefined if there is no valid incarnation; the server is healthy nevertheless. */
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
