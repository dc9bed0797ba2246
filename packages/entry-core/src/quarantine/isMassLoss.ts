/**
 * Tells the loss of a whole data centre, or of the way to it, from a crash. A request runs on one
 * backend server at a time, so it cannot take down several together; a data centre that is cut off
 * or reclaimed without notice does. Without this, its requests would all be suspects: they
 * would wait to be run one by one, and a second outage would quarantine innocent ones.
 *
 * Two losses that share a digest are none such: a caller may have sent a bad request twice.
 */
import type { Milliseconds } from '@hornbeampond/schema';
import type { EntryState } from '../EntryState.js';
import type { Loss } from './QuarantineState.js';
import { clearExplained } from './suspects.js';

/** Losses so close together have one cause. */
const TOGETHER_MILLISECONDS: Milliseconds = 2000;

function dataCentreOf(state: EntryState, instance: string): string | undefined {
  return state.backendServers.get(instance)?.listed.dataCentre;
}

function sharesDigest(loss: Loss, digests: Iterable<string>): boolean {
  return [...digests].some((digest) => loss.members.has(digest));
}

/** Also takes back the suspicions of an earlier loss that has proved to be part of the same. */
export function isMassLoss(state: EntryState, loss: Loss): boolean {
  const near = (instance: string, at: number) =>
    instance !== loss.instance &&
    dataCentreOf(state, instance) === dataCentreOf(state, loss.instance) &&
    Math.abs(at - loss.openedAt) <= TOGETHER_MILLISECONDS;
  const down = [...state.quarantine.down].filter(
    ([instance, { since, digests }]) => near(instance, since) && !sharesDigest(loss, digests),
  );
  down.forEach(([, { crashId }]) => clearExplained(state, new Set([crashId])));
  const open = [...state.quarantine.losses.values()].filter(
    ({ instance, openedAt, members }) =>
      near(instance, openedAt) && !sharesDigest(loss, members.keys()),
  );
  return down.length + open.length > 0;
}
