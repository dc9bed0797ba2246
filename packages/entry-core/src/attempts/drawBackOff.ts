/**
 * Exponential back-off with full jitter: a random delay between zero and a maximum that doubles
 * with each attempt. With equal delays, requests that failed together would be retried together.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Milliseconds } from '@hornbeampond/schema';
import type { RetryState } from './RetryState.js';

const BASE_DELAY_MILLISECONDS = 50;
const MAX_DELAY_MILLISECONDS = 2000;

export function drawBackOff(retries: RetryState, attemptsStarted: number): Milliseconds {
  const maxDelay = Math.min(MAX_DELAY_MILLISECONDS, BASE_DELAY_MILLISECONDS * 2 ** attemptsStarted);
  return uniformInt(retries.generator, 0, maxDelay);
}
