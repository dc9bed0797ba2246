/** Waits for work that may never end. */
import { setTimeout as wait } from 'node:timers/promises';
import type { Milliseconds } from '@hornbeampond/schema';

export type Settlement =
  | { readonly type: 'done' }
  | { readonly type: 'failed'; readonly error: unknown }
  | { readonly type: 'timedOut' };

/** Resolves with how the work ended, or with `timedOut`; the work goes on then. */
export async function settlesWithin(
  work: Promise<unknown>,
  timeout: Milliseconds,
): Promise<Settlement> {
  const timer = new AbortController();
  const settled = work.then(
    (): Settlement => ({ type: 'done' }),
    (error: unknown): Settlement => ({ type: 'failed', error }),
  );
  const timedOut = wait(timeout, undefined, { signal: timer.signal }).then(
    (): Settlement => ({ type: 'timedOut' }),
    (): Settlement => ({ type: 'timedOut' }),
  );
  const settlement = await Promise.race([settled, timedOut]);
  timer.abort();
  return settlement;
}
