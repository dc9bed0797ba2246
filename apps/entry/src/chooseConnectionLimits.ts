/**
 * Divides the memory and the descriptors of an entry between its callers and the rest of its work. What
 * callers hold is estimated, and the garbage collector needs room of its own, so they get less than a third
 * of the memory.
 */
import type { EntrySettings } from '@hornbeampond/schema';
import type { ConnectionLimits } from '@hornbeampond/transport';
import { MAX_HELD_BODY_BYTES } from './HeldBodies.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** What an entry needs without callers. */
const OWN_MEGABYTES = 64;

/** Released buffers that V8 lets gather before it collects them. */
const RELEASED_MEGABYTES = 80;

const HEAP_SHARE = 0.15;
const BODY_SHARE = 0.31;

/** Twice the largest body that the platform's callers may send. */
const MIN_BODY_MEGABYTES = 8;

/** Small bodies, unread answers and waiting input go on while large bodies are refused already. */
const BUFFERS_OF_BODIES = 1.25;

/** The others are for backend servers, stores, other entries and files. */
const CONNECTION_SHARE = 0.6;

export interface CallerConnectionLimits extends ConnectionLimits {
  /** Bytes of all bodies together beyond which large ones are refused. */
  readonly bodyBytes: number;
}

export function chooseConnectionLimits({
  memoryMegabytes,
  descriptors,
}: Pick<EntrySettings['limits'], 'memoryMegabytes' | 'descriptors'>): CallerConnectionLimits {
  const heapMegabytes = Math.max(memoryMegabytes - OWN_MEGABYTES, OWN_MEGABYTES) * HEAP_SHARE;
  const forBuffers = memoryMegabytes - OWN_MEGABYTES - RELEASED_MEGABYTES;
  const bodyMegabytes = Math.max(forBuffers * BODY_SHARE, MIN_BODY_MEGABYTES);
  const bodyBytes = Math.min(bodyMegabytes * BYTES_PER_MEGABYTE, MAX_HELD_BODY_BYTES);
  return {
    connections: Math.floor(descriptors * CONNECTION_SHARE),
    bodyBytes,
    held: { heap: heapMegabytes * BYTES_PER_MEGABYTE, buffers: bodyBytes * BUFFERS_OF_BODIES },
  };
}
