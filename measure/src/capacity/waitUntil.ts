/** Waits for something that a measurement can only look at, for processes log it or count it. */
import { wait } from './readUsage.js';

const LOOK_MILLISECONDS = 5;
const MOST_MILLISECONDS = 20_000;

export async function waitUntil(holds: () => boolean, what: string): Promise<void> {
  const endsAt = performance.now() + MOST_MILLISECONDS;
  while (!holds()) {
    if (performance.now() > endsAt) throw new Error(`${what} did not come in time`);
    await wait(LOOK_MILLISECONDS);
  }
}
