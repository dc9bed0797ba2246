/**
 * When an answer is past its beginning. A part that crashes servers does so as they begin to write; the
 * first event may still get out, and may reach this process together with the end of the connection.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';

const BEGINNING_MILLISECONDS: Milliseconds = 250;

export function isPastBeginning(
  { firstTokenAt }: { readonly firstTokenAt: MonotonicMilliseconds | undefined },
  now: MonotonicMilliseconds,
): boolean {
  return firstTokenAt !== undefined && now - firstTokenAt >= BEGINNING_MILLISECONDS;
}
